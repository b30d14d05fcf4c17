#include "net/httpclient.h"

#include "net/responsestatus.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <limits>
#include <unordered_map>
#include <utility>
#include <vector>

#include <curl/curl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace figpulley::net
{
namespace
{
using namespace std::chrono_literals;
using core::ErrorKind;

// Maximum number of pooled connections of a node: a quarter of the file descriptors of a small VM.
constexpr long maxPooledConnections = 1024;
// Shorter than the time for which servers keep idle connections, so that no server closes a connection while a request is sent on it.
constexpr long defaultMaxIdleSeconds = 30;
constexpr std::size_t maxIdleHandles = 256;
// Applies to the heads of interim and final responses and to the trailer together.
constexpr std::size_t maxHeadBytes = 64UL * 1024UL;
constexpr int httpNoContent = 204;
constexpr int httpNotModified = 304;

struct GlobalCurl
{
    GlobalCurl()
    {
        curl_global_init(CURL_GLOBAL_DEFAULT);
    }
};
} // namespace

class HttpClient::Implementation
{
public:
    struct Transfer
    {
        TransferId id {};
        CURL *handle = nullptr;
        curl_slist *headerList = nullptr;
        ClientCallbacks callbacks;
        ClientResponseHead head;
        std::size_t headBytes = 0; // size of all header lines received
        std::size_t bodyBytes = 0; // size of the body received
        std::size_t maxBodyBytes = std::numeric_limits<std::size_t>::max();
        std::string body;
        bool isHeadRequest = false;
        bool mayResend = true;
        bool isHeadComplete = false; // the empty line after the headers of a final response was received
        bool isHeadDelivered = false;
        bool isChunked = false;
        bool isPaused = false;
        bool isTooLarge = false;
        bool hasInvalidStatus = false; // the status is neither a final nor an interim one
        int sendCount = 0;
        core::Duration ackTimeout {};
        EventLoop::TimerId headTimer = EventLoop::noTimer;
    };

    explicit Implementation(EventLoop &loop)
        : loop(loop)
    {
        static const GlobalCurl global;
        this->multi = curl_multi_init();
        curl_multi_setopt(this->multi, CURLMOPT_SOCKETFUNCTION, &Implementation::onSocket);
        curl_multi_setopt(this->multi, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(this->multi, CURLMOPT_TIMERFUNCTION, &Implementation::onTimer);
        curl_multi_setopt(this->multi, CURLMOPT_TIMERDATA, this);
        curl_multi_setopt(this->multi, CURLMOPT_MAXCONNECTS, maxPooledConnections);
        curl_multi_setopt(this->multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
    }

    ~Implementation()
    {
        this->loop.cancel(this->timer);
        for (auto &[id, transfer] : this->transfers) {
            this->loop.cancel(transfer->headTimer);
            curl_multi_remove_handle(this->multi, transfer->handle);
            curl_slist_free_all(transfer->headerList);
            curl_easy_cleanup(transfer->handle);
        }
        for (auto *handle : this->idleHandles) {
            curl_easy_cleanup(handle);
        }
        curl_multi_cleanup(this->multi);
    }

    static int onSocket(CURL * /*handle*/, curl_socket_t socket, int pollAction, void *context, void * /*socketContext*/)
    {
        auto &self = *static_cast<Implementation *>(context);
        if (pollAction == CURL_POLL_REMOVE) {
            self.loop.unwatch(socket);
            return 0;
        }
        const bool wantsRead = pollAction == CURL_POLL_IN || pollAction == CURL_POLL_INOUT;
        const bool wantsWrite = pollAction == CURL_POLL_OUT || pollAction == CURL_POLL_INOUT;
        self.loop.watch(socket, wantsRead, wantsWrite, [&self, socket](bool isReadable, bool isWritable) {
            const int events = (isReadable ? CURL_CSELECT_IN : 0) | (isWritable ? CURL_CSELECT_OUT : 0);
            self.processSocket(socket, events);
        });
        return 0;
    }

    static int onTimer(CURLM * /*multi*/, long timeoutMs, void *context)
    {
        auto &self = *static_cast<Implementation *>(context);
        self.loop.cancel(self.timer);
        self.timer = EventLoop::noTimer;
        if (timeoutMs >= 0) {
            self.timer = self.loop.callAfter(std::chrono::milliseconds(timeoutMs), [&self] {
                self.timer = EventLoop::noTimer;
                self.processSocket(CURL_SOCKET_TIMEOUT, 0);
            });
        }
        return 0;
    }

    static std::size_t onHeader(char *data, std::size_t size, std::size_t count, void *context)
    {
        auto &transfer = *static_cast<Transfer *>(context);
        const std::string_view line(data, size * count);
        transfer.headBytes += line.size();
        if (transfer.headBytes > maxHeadBytes) {
            return 0; // ends the transfer
        }
        if (transfer.isHeadComplete) {
            return line.size(); // the trailer of a chunked body
        }
        if (line.starts_with("HTTP/")) {
            transfer.head = {};
            transfer.isChunked = false;
            return line.size();
        }
        const auto colon = line.find(':');
        if (colon == std::string_view::npos) {
            return handleHeadLine(transfer, line) ? line.size() : 0;
        }
        auto value = line.substr(colon + 1);
        const auto first = value.find_first_not_of(" \t");
        const auto last = value.find_last_not_of(" \t\r\n");
        value = first == std::string_view::npos || last == std::string_view::npos || last < first ? std::string_view()
                                                                                                  : value.substr(first, last - first + 1);
        const auto name = line.substr(0, colon);
        if (equalsIgnoreCase(name, "Content-Length")) {
            std::size_t length = 0;
            std::from_chars(value.data(), value.data() + value.size(), length);
            transfer.head.length = length;
        }
        transfer.isChunked = transfer.isChunked || equalsIgnoreCase(name, "Transfer-Encoding");
        transfer.head.headers.push_back({std::string(name), std::string(value)});
        return line.size();
    }

    // Handles a line of the head that is no header. The empty line ends the head, before any of the body is delivered.
    // Returns false if the response is rejected or has an invalid status.
    static bool handleHeadLine(Transfer &transfer, std::string_view line)
    {
        if (line != "\r\n" && line != "\n") {
            return true;
        }
        long status = 0;
        curl_easy_getinfo(transfer.handle, CURLINFO_RESPONSE_CODE, &status);
        if (isInterimStatus(static_cast<int>(status))) {
            return true;
        }
        if (!isFinalStatus(static_cast<int>(status))) {
            transfer.hasInvalidStatus = true;
            return false;
        }
        transfer.isHeadComplete = true;
        transfer.head.status = static_cast<int>(status);
        return !transfer.callbacks.isAcceptable || transfer.callbacks.isAcceptable(transfer.head);
    }

    static std::size_t onWrite(char *data, std::size_t size, std::size_t count, void *context)
    {
        auto &transfer = *static_cast<Transfer *>(context);
        deliverHead(transfer);
        transfer.bodyBytes += size * count;
        if (std::max(transfer.bodyBytes, transfer.head.length.value_or(0)) > transfer.maxBodyBytes) {
            transfer.isTooLarge = true;
            return 0; // ends the transfer
        }
        const bool isConsuming = transfer.callbacks.onData(std::string_view(data, size * count));
        if (!isConsuming) {
            // The data passed was consumed; the pause applies to the data that follows.
            transfer.isPaused = true;
            curl_easy_pause(transfer.handle, CURLPAUSE_RECV);
        }
        return size * count;
    }

    // Called by libcurl each time before it sends a request, on a new or a reused connection. A second call for the same request means
    // that libcurl is about to send it again, because a reused connection failed without a response.
    static int onBeforeSend(void *context, char * /*remoteIp*/, char * /*localIp*/, int /*remotePort*/, int /*localPort*/)
    {
        auto &transfer = *static_cast<Transfer *>(context);
        ++transfer.sendCount;
        const bool isResend = transfer.sendCount > 1;
        return isResend && !transfer.mayResend ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
    }

    static void deliverHead(Transfer &transfer)
    {
        if (transfer.isHeadDelivered) {
            return;
        }
        transfer.isHeadDelivered = true;
        long status = 0;
        curl_easy_getinfo(transfer.handle, CURLINFO_RESPONSE_CODE, &status);
        transfer.head.status = static_cast<int>(status);
        if (transfer.callbacks.onHead) {
            transfer.callbacks.onHead(transfer.head);
        }
    }

    void processSocket(curl_socket_t socket, int events)
    {
        int running = 0;
        curl_multi_socket_action(this->multi, socket, events, &running);
        this->collectFinished();
    }

    void collectFinished()
    {
        int remaining = 0;
        while (const auto *message = curl_multi_info_read(this->multi, &remaining)) {
            if (message->msg == CURLMSG_DONE) {
                this->finish(message->easy_handle, message->data.result);
            }
        }
    }

    void finish(CURL *handle, CURLcode code)
    {
        Transfer *finishedTransfer = nullptr;
        curl_easy_getinfo(handle, CURLINFO_PRIVATE, &finishedTransfer);
        const auto found = this->transfers.find(static_cast<std::uint64_t>(finishedTransfer->id));
        const auto transfer = std::move(found->second);
        this->transfers.erase(found);
        this->loop.cancel(transfer->headTimer);
        if (code == CURLE_OK && transfer->isHeadComplete) {
            deliverHead(*transfer);
        }
        const auto result = resultOf(*transfer, code);
        curl_multi_remove_handle(this->multi, handle);
        this->releaseHandle(*transfer);
        transfer->callbacks.onDone(result);
    }

    TransferId start(const ClientRequest &request, ClientCallbacks callbacks, std::size_t maxBodyBytes)
    {
        auto transfer = std::make_unique<Transfer>();
        transfer->id = TransferId {this->nextId++};
        transfer->handle = this->acquireHandle();
        transfer->callbacks = std::move(callbacks);
        transfer->maxBodyBytes = maxBodyBytes;
        transfer->isHeadRequest = request.method == "HEAD";
        transfer->mayResend = request.mayResend;
        setRequestOptions(*transfer, request);
        setConnectionOptions(*transfer, request);
        setCallbacks(*transfer);
        if (request.headTimeout.count() > 0) {
            this->scheduleHeadTimeout(*transfer, request.headTimeout);
        }
        const auto id = transfer->id;
        auto *handle = transfer->handle;
        this->transfers.emplace(static_cast<std::uint64_t>(id), std::move(transfer));
        curl_multi_add_handle(this->multi, handle);
        return id;
    }

    // Ends a transfer whose response has not begun in time.
    void scheduleHeadTimeout(Transfer &transfer, core::Duration timeout)
    {
        transfer.headTimer = this->loop.callAfter(timeout, [this, id = static_cast<std::uint64_t>(transfer.id)] {
            auto &waiting = *this->transfers.at(id);
            waiting.headTimer = EventLoop::noTimer;
            if (!waiting.isHeadComplete) {
                this->finish(waiting.handle, CURLE_OPERATION_TIMEDOUT);
            }
        });
    }

    static ClientResult resultOf(const Transfer &transfer, CURLcode code)
    {
        if (transfer.hasInvalidStatus) {
            return {ErrorKind::AnswerLost, "the response has an invalid status"};
        }
        if (transfer.isTooLarge) {
            return {ErrorKind::AnswerShort, "the response body exceeds the size limit", false, true};
        }
        // libcurl reports a head that the end of the connection cuts off as a complete response.
        if (code == CURLE_OK && !transfer.isHeadComplete) {
            return {ErrorKind::AnswerLost, "the connection ended in the head of the response"};
        }
        if (code == CURLE_OK) {
            return {declaresBodyEnd(transfer) ? ErrorKind::None : ErrorKind::AnswerShort,
                    "the response has neither Content-Length nor chunked encoding"};
        }
        const std::string detail = curl_easy_strerror(code);
        if (transfer.sendCount == 0) {
            return {code == CURLE_OPERATION_TIMEDOUT ? ErrorKind::DeadlineExpired : ErrorKind::ConnectFailed, detail};
        }
        if (code == CURLE_OPERATION_TIMEDOUT) {
            return {ErrorKind::DeadlineUnknown, detail};
        }
        if (code == CURLE_PARTIAL_FILE || transfer.isHeadDelivered) {
            return {ErrorKind::AnswerShort, detail};
        }
        return {ErrorKind::AnswerLost, detail};
    }

    // Returns whether the response declares where its body ends. A body that ends with the connection may be truncated.
    static bool declaresBodyEnd(const Transfer &transfer)
    {
        const auto status = transfer.head.status;
        const bool hasNoBody = transfer.isHeadRequest || status == httpNoContent || status == httpNotModified;
        return hasNoBody || transfer.head.length.has_value() || transfer.isChunked;
    }

    void releaseHandle(Transfer &transfer)
    {
        curl_slist_free_all(transfer.headerList);
        transfer.headerList = nullptr;
        if (this->idleHandles.size() < maxIdleHandles) {
            curl_easy_reset(transfer.handle);
            this->idleHandles.push_back(transfer.handle);
        } else {
            curl_easy_cleanup(transfer.handle);
        }
        transfer.handle = nullptr;
    }

    CURL *acquireHandle()
    {
        if (this->idleHandles.empty()) {
            return curl_easy_init();
        }
        auto *handle = this->idleHandles.back();
        this->idleHandles.pop_back();
        return handle;
    }

    static void setRequestOptions(Transfer &transfer, const ClientRequest &request)
    {
        auto *handle = transfer.handle;
        curl_easy_setopt(handle, CURLOPT_URL, request.url.c_str());
        curl_easy_setopt(handle, CURLOPT_PATH_AS_IS, 1L);
        for (const auto &header : request.headers) {
            // libcurl drops a header without a value unless it ends in a semicolon.
            const auto line = header.value.empty() ? header.name + ";" : header.name + ": " + header.value;
            transfer.headerList = curl_slist_append(transfer.headerList, line.c_str());
        }
        transfer.headerList = curl_slist_append(transfer.headerList, "Expect:");
        const bool hasBody = !bodyOf(request).empty() || request.method == "POST" || request.method == "PUT";
        if (request.method == "HEAD") {
            curl_easy_setopt(handle, CURLOPT_NOBODY, 1L);
        } else if (hasBody) {
            transfer.body = bodyOf(request);
            curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(transfer.body.size()));
            curl_easy_setopt(handle, CURLOPT_POSTFIELDS, transfer.body.c_str());
        }
        if (request.method != "HEAD") {
            curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
        }
        if (hasBody && findHeader(request.headers, "Content-Type").empty()) {
            transfer.headerList = curl_slist_append(transfer.headerList, "Content-Type:");
        }
        curl_easy_setopt(handle, CURLOPT_HTTPHEADER, transfer.headerList);
    }

    static void setConnectionOptions(Transfer &transfer, const ClientRequest &request)
    {
        auto *handle = transfer.handle;
        curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
        curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(handle, CURLOPT_PROXY, "");
        curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
        const auto idleSeconds = std::chrono::duration_cast<std::chrono::seconds>(request.maxIdleTime).count();
        curl_easy_setopt(handle, CURLOPT_MAXAGE_CONN, idleSeconds > 0 ? static_cast<long>(idleSeconds) : defaultMaxIdleSeconds);
        setAckTimeout(transfer, request.ackTimeout);
        curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, request.needsNewConnection ? 1L : 0L);
        curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, request.needsNewConnection ? 1L : 0L);
        curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, std::max(1L, static_cast<long>(core::toMilliseconds(request.timeout))));
        if (request.connectTimeout.count() > 0) {
            curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(core::toMilliseconds(request.connectTimeout)));
        }
        if (!request.bindAddress.empty()) {
            curl_easy_setopt(handle, CURLOPT_INTERFACE, request.bindAddress.c_str());
        }
    }

    // Makes the connection fail if its peer acknowledges nothing. TCP_USER_TIMEOUT covers bytes that were sent; the keep-alive probes
    // cover a connection that only waits for a response.
    static void setAckTimeout(Transfer &transfer, core::Duration ackTimeout)
    {
        if (ackTimeout.count() == 0) {
            return;
        }
        auto *handle = transfer.handle;
        transfer.ackTimeout = ackTimeout;
        curl_easy_setopt(handle, CURLOPT_TCP_KEEPALIVE, 1L);
        curl_easy_setopt(handle, CURLOPT_TCP_KEEPIDLE, 1L);
        curl_easy_setopt(handle, CURLOPT_TCP_KEEPINTVL, 1L);
        curl_easy_setopt(handle, CURLOPT_SOCKOPTFUNCTION, &Implementation::onSocketCreated);
        curl_easy_setopt(handle, CURLOPT_SOCKOPTDATA, &transfer);
    }

    static int onSocketCreated(void *context, curl_socket_t socket, curlsocktype /*purpose*/)
    {
        const auto &transfer = *static_cast<const Transfer *>(context);
        const auto milliseconds = static_cast<unsigned>(core::toMilliseconds(transfer.ackTimeout));
        setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof milliseconds);
        return CURL_SOCKOPT_OK;
    }

    static void setCallbacks(Transfer &transfer)
    {
        auto *handle = transfer.handle;
        curl_easy_setopt(handle, CURLOPT_PRIVATE, &transfer);
        curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &Implementation::onHeader);
        curl_easy_setopt(handle, CURLOPT_HEADERDATA, &transfer);
        curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &Implementation::onWrite);
        curl_easy_setopt(handle, CURLOPT_WRITEDATA, &transfer);
        curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, &Implementation::onBeforeSend);
        curl_easy_setopt(handle, CURLOPT_PREREQDATA, &transfer);
    }

    EventLoop &loop;
    CURLM *multi = nullptr;
    EventLoop::TimerId timer = EventLoop::noTimer;
    std::unordered_map<std::uint64_t, std::unique_ptr<Transfer>> transfers;
    std::vector<CURL *> idleHandles;
    std::uint64_t nextId = 1;
};

HttpClient::HttpClient(EventLoop &loop)
    : implementation(std::make_unique<Implementation>(loop))
{
}

HttpClient::~HttpClient() = default;

TransferId HttpClient::send(const ClientRequest &request, ClientCallbacks callbacks)
{
    return this->implementation->start(request, std::move(callbacks), std::numeric_limits<std::size_t>::max());
}

TransferId HttpClient::fetch(const ClientRequest &request, std::size_t maxBodyBytes, std::function<void(ClientResponse)> onDone)
{
    auto response = std::make_shared<ClientResponse>();
    ClientCallbacks callbacks;
    callbacks.onHead = [response](const ClientResponseHead &head) { response->head = head; };
    callbacks.onData = [response](std::string_view data) {
        response->body.append(data);
        return true;
    };
    callbacks.onDone = [response, onDone = std::move(onDone)](const ClientResult &result) {
        response->result = result;
        onDone(std::move(*response));
    };
    return this->implementation->start(request, std::move(callbacks), maxBodyBytes);
}

void HttpClient::cancel(TransferId transfer)
{
    auto &self = *this->implementation;
    const auto found = self.transfers.find(static_cast<std::uint64_t>(transfer));
    if (found == self.transfers.end()) {
        return;
    }
    const auto cancelled = std::move(found->second);
    self.transfers.erase(found);
    self.loop.cancel(cancelled->headTimer);
    curl_multi_remove_handle(self.multi, cancelled->handle);
    self.releaseHandle(*cancelled);
}

void HttpClient::resume(TransferId transfer)
{
    auto &self = *this->implementation;
    const auto found = self.transfers.find(static_cast<std::uint64_t>(transfer));
    if (found != self.transfers.end() && found->second->isPaused) {
        found->second->isPaused = false;
        curl_easy_pause(found->second->handle, CURLPAUSE_CONT);
    }
}
} // namespace figpulley::net
