#pragma once

/// Forward declarations of the network adapters on top of ACE, libmicrohttpd, libcurl and Boost.Beast.
namespace figpulley::net
{
class BodyPipe;
class DatagramSocket;
class EventLoop;
class HttpClient;
class HttpExchange;
class HttpSender;
class HttpServer;
class RelayClient;
class RelayServer;
struct Header;
struct HttpResponse;
struct HttpRequest;
} // namespace figpulley::net
