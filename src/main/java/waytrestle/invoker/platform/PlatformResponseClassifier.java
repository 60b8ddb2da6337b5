package waytrestle.invoker.platform;

import waytrestle.responses.Classification;
import waytrestle.responses.ClassifierCommand;
import waytrestle.responses.ClassifierEvent;
import waytrestle.responses.ExchangeResult;
import waytrestle.responses.ResponseClassifier;
import waytrestle.scheduler.ResponseCode;

/**
 * Classifies each result by what the platform's protocol proves, and nothing more: the scheduler
 * gets every result, load report and endpoint list as it came, just as in the bench, and decides
 * alone.
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

    /** The code of any result: attempts, preloads and health checks prove the same by it. */
    @Override
    public ResponseCode codeOfPreloadOrHealthCheck(ExchangeResult result) {
        return switch (result.kind()) {
            case RESPONSE -> ResponseCode.OK;
            case STATUS -> codeOfStatus(result.status());
            case MALFORMED -> ResponseCode.ERROR; // something was sent back: it may have run
            case NOT_CONNECTED -> ResponseCode.CONNECT_FAILED;
            case CONNECTION_LOST -> ResponseCode.RESET;
            case TIMEOUT -> ResponseCode.TIMEOUT;
            case CANCELLED -> ResponseCode.CANCELLED;
            case NO_CAPACITY -> ResponseCode.FULL; // nothing was sent
            case WITHHELD -> ResponseCode.NOT_SENT;
        };
    }

    /** Only rejections that are marked as not run come here with their status. */
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
