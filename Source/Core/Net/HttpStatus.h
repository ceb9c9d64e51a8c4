#pragma once

namespace Net {

// HTTP status codes used in the code (RFC 9110).
enum HttpStatus : int {
    Ok = 200,
    FirstRedirect = 300,
    BadRequest = 400,
    Unauthorized = 401,
    NotFound = 404,
    RequestTimeout = 408,
    Gone = 410,
    ConditionFailed = 412,
    ContentTooLarge = 413,
    Misdirected = 421,
    TooManyRequests = 429,
    HeaderTooLarge = 431,
    ServerError = 500, // this and all above are server errors
    BadGateway = 502,
    Unavailable = 503,
    GatewayTimeout = 504,
};

}
