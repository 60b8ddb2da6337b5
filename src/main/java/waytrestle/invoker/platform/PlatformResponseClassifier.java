package waytrestle.invoker.platform;

import waytrestle.responses.Classification;
import waytrestle.responses.ClassifierCommand;
import waytrestle.responses.ClassifierEvent;
import waytrestle.responses.ExchangeResult;
import waytrestle.responses.ResponseClassifier;
import waytrestle.scheduler.ResponseCode;

/**
 * Classifies the result of each exchange by what the platform's protocol proves about it. Passes
 * every result, load report and endpoint list on to the scheduler unchanged, as the bench does, and
 * leaves all decisions to the scheduler.
 *
 * <p>Stateless.
 */
public final class PlatformResponseClassifier implements ResponseClassifier {
    private static final int NOT_FOUND = 404;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    @Override
    public void handle(long nowMicros, ClassifierEvent event, ClassifierCommand.Sink commands) {
        if (event instanceof ClassifierEvent.RequestStarted started) {
            commands.add(
                    new ClassifierCommand.AdmitRequest(
                            started.requestId(),
                            started.declaredConcurrencyPerInstance(),
                            started.declaredLoadMicros()));
        } else if (event instanceof ClassifierEvent.AttemptRequested requested) {
            commands.add(
                    new ClassifierCommand.ForwardAttempt(
                            requested.requestId(), requested.attempt()));
        } else if (event instanceof ClassifierEvent.AttemptCompleted completed) {
            commands.add(
                    new ClassifierCommand.CompleteAttempt(
                            completed.requestId(),
                            completed.attempt(),
                            classify(completed.result()),
                            completed.loadReport()));
        } else if (event instanceof ClassifierEvent.EndpointListReceived received) {
            commands.add(new ClassifierCommand.UpdateEndpoints(received.update()));
        }
    }

    private Classification classify(ExchangeResult result) {
        ResponseCode code = codeOfPreloadOrHealthCheck(result);
        boolean endsRequest = code == ResponseCode.OK;
        return new Classification(code, endsRequest, false, false);
    }

    /**
     * Returns the code of the result of an attempt, a preload request or a health check: a result
     * proves the same for each of them.
     */
    @Override
    public ResponseCode codeOfPreloadOrHealthCheck(ExchangeResult result) {
        return switch (result.kind()) {
            case RESPONSE -> ResponseCode.OK;
            case STATUS -> codeOfStatus(result.status());
            // The invoker sent something back, so it may have run the request.
            case MALFORMED -> ResponseCode.ERROR;
            case NOT_CONNECTED -> ResponseCode.CONNECT_FAILED;
            case CONNECTION_LOST -> ResponseCode.RESET;
            case TIMEOUT -> ResponseCode.TIMEOUT;
            case CANCELLED -> ResponseCode.CANCELLED;
            case NO_CAPACITY -> ResponseCode.FULL; // nothing was sent
            case WITHHELD -> ResponseCode.NOT_SENT;
        };
    }

    /**
     * Returns the code of a status. 503 and 504 only reach this method from rejections that are
     * marked as not run, since {@link PlatformInvokerProtocol#exchangeResult} reads others as
     * malformed.
     */
    private static ResponseCode codeOfStatus(int status) {
        return switch (status) {
            case NOT_FOUND -> ResponseCode.NOT_LOADED;
            case SERVICE_UNAVAILABLE -> ResponseCode.FULL;
            case GATEWAY_TIMEOUT -> ResponseCode.NOT_SENT;
            default -> ResponseCode.ERROR;
        };
    }

    @Override
    public int retainedEntries() {
        return 0;
    }
}
