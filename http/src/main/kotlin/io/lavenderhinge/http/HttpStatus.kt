package io.lavenderhinge.http

/** HTTP status codes used in this project. */
object HttpStatus {
    const val OK = 200
    const val BAD_REQUEST = 400
    const val UNAUTHORIZED = 401
    const val NOT_FOUND = 404
    const val METHOD_NOT_ALLOWED = 405
    const val REQUEST_TIMEOUT = 408
    const val CONFLICT = 409
    const val GONE = 410
    const val PRECONDITION_FAILED = 412
    const val CONTENT_TOO_LARGE = 413
    const val MISDIRECTED = 421
    const val UNPROCESSABLE = 422
    const val TOO_MANY_REQUESTS = 429
    const val SERVER_ERROR = 500
    const val BAD_GATEWAY = 502
    const val UNAVAILABLE = 503
    const val GATEWAY_TIMEOUT = 504
}
