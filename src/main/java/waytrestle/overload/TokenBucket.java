package waytrestle.overload;

/**
 * Limits a request rate by a token bucket: each request takes one token, and the bucket refills at
 * a constant rate up to the tokens of one second, at least one token.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class TokenBucket {
    /** Value of {@link #refilledAtMicros} before the first refill. */
    private static final long NEVER = 0;

    private final double tokensPerSecond;
    private final double maxTokens;
    private double tokens;
    private long refilledAtMicros = NEVER;

    /** Creates a bucket that starts with the tokens of one second. */
    TokenBucket(double tokensPerSecond) {
        this.tokensPerSecond = tokensPerSecond;
        this.maxTokens = Math.max(1, tokensPerSecond);
        this.tokens = tokensPerSecond;
    }

    /** Takes one token, or returns false if there is less than one. */
    boolean tryTake(long nowMicros) {
        refill(nowMicros);
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    private void refill(long nowMicros) {
        if (refilledAtMicros != NEVER) {
            double elapsedSeconds = MicrosecondTime.toSeconds(nowMicros - refilledAtMicros);
            tokens = Math.min(maxTokens, tokens + elapsedSeconds * tokensPerSecond);
        }
        refilledAtMicros = nowMicros;
    }
}
