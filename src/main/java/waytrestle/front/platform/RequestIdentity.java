package waytrestle.front.platform;

import java.nio.ByteBuffer;
import java.util.Objects;
import java.util.zip.CRC32;
import waytrestle.Bytes;
import waytrestle.requests.IdempotencyStore.KeyedRequest;
import waytrestle.requests.RequestHandler.FunctionHints;
import waytrestle.scheduler.SchedulerSettings.RequestClass;

/**
 * Determines what identifies a request when its client sends it again: the correlation id, and a
 * digest of everything that a retry repeats unchanged. Stateless.
 */
final class RequestIdentity {
    private static final int HASH_BITS = 32;

    private RequestIdentity() {}

    /**
     * Returns the idempotency key and payload digest of a request.
     *
     * @param requestClass the class of the request
     */
    static KeyedRequest of(PlatformRequest request, RequestClass requestClass, Bytes body) {
        return new KeyedRequest(
                request.correlationId(),
                requestClass.idempotency(),
                requestClass.deduplicationWindowMicros(),
                KeyedRequest.UNSIGNED,
                digest(request, body));
    }

    /**
     * Returns a digest of the body and of all header values except the deadline and the retry mark,
     * in which a retry may differ from the first request.
     */
    private static long digest(PlatformRequest request, Bytes body) {
        CRC32 bodyChecksum = new CRC32();
        for (ByteBuffer part : body.buffers()) {
            bodyChecksum.update(part);
        }
        FunctionHints hints = request.hints();
        int fieldsHash =
                Objects.hash(
                        request.function(),
                        request.requestClass(),
                        body.size(),
                        hints.memoryMb(),
                        hints.concurrencyPerInstance(),
                        hints.loadMicros(),
                        hints.workMicros());
        return bodyChecksum.getValue() << HASH_BITS | Integer.toUnsignedLong(fieldsHash);
    }
}
