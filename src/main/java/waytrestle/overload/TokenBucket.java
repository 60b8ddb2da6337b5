package waytrestle.overload;

/**
 * Limits a rate of requests: tokens accrue with time up to one second's worth, and each request
 * takes one.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class TokenBucket {
    /** Value of {@link #refilledAt} before the first refill. */
    private static final long NEVER = 0;

    private final double tokensPerSecond;
    private final double maxTokens;
    private double tokens;
    private long refilledAt = NEVER;

    /** A bucket that starts with one second's tokens. */
    TokenBucket(double tokensPerSecond) {
        this.tokensPerSecond = tokensPerSecond;
        this.maxTokens = Math.max(1, tokensPerSecond);
        this.tokens = tokensPerSecond;
    }

    /** Takes a token, or returns false where there is none. */
    boolean tryTake(long nowMicros) {
        refill(nowMicros);
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    private void refill(long nowMicros) {
        if (refilledAt != NEVER) {
            double elapsedSeconds = MicrosecondTime.toSeconds(nowMicros - refilledAt);
            tokens = Math.min(maxTokens, tokens + elapsedSeconds * tokensPerSecond);
        }
        refilledAt = nowMicros;
    }
}
