package waytrestle.gateway;

import java.nio.ByteBuffer;
import java.util.function.Consumer;
import waytrestle.controller.InvokerClient;
import waytrestle.http.ExchangeFailure;
import waytrestle.http.HttpClient;
import waytrestle.http.HttpMessage;
import waytrestle.http.ResponseHandler;
import waytrestle.http.Withdrawal;
import waytrestle.responses.ExchangeResult.Kind;

/**
 * Base of the invoker clients that use HTTP: maps the results of HTTP exchanges to those of
 * attempts and operations. Subclasses add the protocol.
 */
public abstract class HttpInvokerClient implements InvokerClient {
    private final HttpClient client;

    /** Creates an invoker client that sends by the given HTTP client. */
    protected HttpInvokerClient(HttpClient client) {
        this.client = client;
    }

    /**
     * Starts an HTTP exchange. It ends with exactly one call of either {@code onResponse} or {@code
     * onFailure}.
     *
     * @param timeoutMicros time from now after which the exchange is given up
     * @param withdrawable decides right before the first byte is sent whether the exchange is sent
     * @param onResponse receives the complete response
     * @param onFailure receives the result of an exchange that ended without a complete response
     */
    protected final HttpClient.Call startExchange(
            long timeoutMicros,
            Withdrawable withdrawable,
            Consumer<HttpMessage> onResponse,
            Consumer<Kind> onFailure,
            ByteBuffer... request) {
        return client.call(
                timeoutMicros,
                withdrawalOf(withdrawable),
                new ResponseHandler() {
                    @Override
                    public void responseReceived(HttpMessage response) {
                        onResponse.accept(response);
                    }

                    @Override
                    public void exchangeFailed(ExchangeFailure failure, String reason) {
                        onFailure.accept(resultOf(failure));
                    }
                },
                request);
    }

    private static Withdrawal withdrawalOf(Withdrawable withdrawable) {
        return new Withdrawal() {
            @Override
            public ExchangeFailure failureIfWithdrawn() {
                Kind result = withdrawable.checkBeforeSend();
                if (result == null) {
                    return null;
                }
                return result == Kind.CANCELLED
                        ? ExchangeFailure.CANCELLED
                        : ExchangeFailure.NO_ROOM;
            }

            @Override
            public void writeDelayed(long delayMicros) {
                withdrawable.sendDelayed(delayMicros);
            }
        };
    }

    /**
     * Maps a failure of an HTTP exchange to a result. The invoker cannot have run the request if
     * the exchange failed before the first byte of the request was sent.
     */
    private static Kind resultOf(ExchangeFailure failure) {
        return switch (failure) {
            case NO_CONNECTION, BEFORE_FIRST_BYTE -> Kind.NOT_CONNECTED;
            case AFTER_FIRST_BYTE -> Kind.CONNECTION_LOST;
            case MALFORMED -> Kind.MALFORMED; // a response came; whether the request ran is unknown
            case TIMEOUT -> Kind.TIMEOUT;
            case CANCELLED -> Kind.CANCELLED;
            case NO_ROOM -> Kind.NO_CAPACITY;
        };
    }

    @Override
    public void closeIdle() {
        client.closeIdle();
    }

    @Override
    public void close() {
        client.close();
    }

    @Override
    public long connectedSinceMicros() {
        return client.oldestConnectedAtMicros();
    }

    @Override
    public int openConnections() {
        return client.openConnections();
    }
}
