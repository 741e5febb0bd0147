#pragma once

/// Public header of the net library: the one loop, HTTP server and client, raw streams, and
/// datagrams between the system's own processes.

#include "acaciafork/net/Address.h"
#include "acaciafork/net/HttpCall.h"
#include "acaciafork/net/HttpClient.h"
#include "acaciafork/net/HttpExchange.h"
#include "acaciafork/net/HttpServer.h"
#include "acaciafork/net/HttpTypes.h"
#include "acaciafork/net/JsonReader.h"
#include "acaciafork/net/Loop.h"
#include "acaciafork/net/MessageLink.h"
#include "acaciafork/net/TcpListener.h"
#include "acaciafork/net/TcpStream.h"
