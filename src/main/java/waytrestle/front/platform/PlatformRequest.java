package waytrestle.front.platform;

import waytrestle.requests.RequestHandler.FunctionHints;

/**
 * A request that was read and checked; its body stays with the message.
 *
 * @param requestClass index of its class in the settings
 * @param correlationId the client's id, which invokers see unchanged
 */
record PlatformRequest(
        String function,
        int requestClass,
        String correlationId,
        long deadlineMillis,
        FunctionHints hints) {}
