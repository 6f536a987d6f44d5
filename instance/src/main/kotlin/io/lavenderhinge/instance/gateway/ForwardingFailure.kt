package io.lavenderhinge.instance.gateway

/** Why a request ended without a complete response of a backend server. [text] is for the log. */
internal enum class ForwardingFailure(val text: String) {
    /** The client's own time is over. */
    CLIENT_DEADLINE("client deadline"),
    /** The timeout of the route is over, before the client's own time. */
    ROUTE_TIMEOUT("route timeout"),
    /** The server that may have executed the request sent no complete response. */
    LOST("lost"),
    /** No server executed the request. */
    NOT_EXECUTED("not run"),
    /** A server may have executed the request, and no other one can take it. */
    NO_OTHER_SERVER("no other server"),
    /** The stream has begun, and no server can go on with it. */
    NOT_RESUMED("no server to resume at"),
    /** The status states that the request was not executed, but the server does not prove it. */
    UNPROVEN_STATUS("promise without proof"),
}
