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

/** What the ways to invokers over HTTP share, whatever protocol is spoken on them. */
public abstract class HttpInvokerClient implements InvokerClient {
    private final HttpClient client;

    protected HttpInvokerClient(HttpClient client) {
        this.client = client;
    }

    /**
     * One request and its one end: a whole message, or how it broke. Before its first byte it may
     * still be withdrawn, for its caller's sake or the invoker's.
     */
    protected final HttpClient.Call startExchange(
            long within,
            Withdrawable exchange,
            Consumer<HttpMessage> answered,
            Consumer<Kind> broken,
            ByteBuffer... request) {
        return client.call(
                within,
                withdrawalOf(exchange),
                new ResponseHandler() {
                    @Override
                    public void responseReceived(HttpMessage m) {
                        answered.accept(m);
                    }

                    @Override
                    public void exchangeFailed(ExchangeFailure how, String why) {
                        broken.accept(of(how));
                    }
                },
                request);
    }

    private static Withdrawal withdrawalOf(Withdrawable exchange) {
        return new Withdrawal() {
            @Override
            public ExchangeFailure failureIfWithdrawn() {
                Kind how = exchange.checkBeforeSend();
                if (how == null) {
                    return null;
                }
                return how == Kind.CANCELLED ? ExchangeFailure.CANCELLED : ExchangeFailure.NO_ROOM;
            }

            @Override
            public void writeDelayed(long micros) {
                exchange.sendDelayed(micros);
            }
        };
    }

    /**
     * The line is the first byte of the request: before it the invoker cannot have run anything.
     */
    private static Kind of(ExchangeFailure how) {
        return switch (how) {
            case NO_CONNECTION, BEFORE_FIRST_BYTE -> Kind.NOT_CONNECTED;
            case AFTER_FIRST_BYTE -> Kind.CONNECTION_LOST;
            case MALFORMED -> Kind.MALFORMED; // something answered; whether it ran is unknown
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
