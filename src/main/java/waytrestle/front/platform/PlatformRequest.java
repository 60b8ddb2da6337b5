package waytrestle.front.platform;

import waytrestle.requests.RequestHandler.FunctionHints;

/**
 * The validated path and headers of a request; the body is left in the HTTP message.
 *
 * @param function the function's id, 16 hexadecimal digits
 * @param requestClass index of the request class in the scheduler settings
 * @param correlationId the client's id of the request, 16 hexadecimal digits, which is forwarded to
 *     invokers unchanged
 * @param deadlineMillis time in milliseconds from the client's send to its deadline
 */
record PlatformRequest(
        String function,
        int requestClass,
        String correlationId,
        long deadlineMillis,
        FunctionHints hints) {}
