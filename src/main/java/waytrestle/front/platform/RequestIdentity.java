package waytrestle.front.platform;

import java.nio.ByteBuffer;
import java.util.Objects;
import java.util.zip.CRC32;
import waytrestle.Bytes;
import waytrestle.requests.IdempotencyStore.KeyedRequest;
import waytrestle.requests.RequestHandler.FunctionHints;
import waytrestle.scheduler.SchedulerSettings.RequestClass;

/**
 * By what a request that comes again is recognised: its correlation id, and a digest of all that a
 * client sends unchanged with it. Stateless.
 */
final class RequestIdentity {
    private static final int HASH_BITS = 32;

    private RequestIdentity() {}

    /** The identity of a request. */
    static KeyedRequest of(PlatformRequest request, RequestClass requestClass, Bytes body) {
        return new KeyedRequest(
                request.correlationId(),
                requestClass.idempotency(),
                requestClass.deduplicationWindowMicros(),
                KeyedRequest.UNSIGNED,
                digest(request, body));
    }

    /** The time left and the mark of a retry may differ between the two. */
    private static long digest(PlatformRequest request, Bytes body) {
        CRC32 checksum = new CRC32();
        for (ByteBuffer part : body.buffers()) {
            checksum.update(part);
        }
        FunctionHints hints = request.hints();
        int fields =
                Objects.hash(
                        request.function(),
                        request.requestClass(),
                        body.size(),
                        hints.memoryMb(),
                        hints.concurrencyPerInstance(),
                        hints.loadMicros(),
                        hints.workMicros());
        return checksum.getValue() << HASH_BITS | Integer.toUnsignedLong(fields);
    }
}
