package waytrestle.invoker.platform;

import waytrestle.responses.Classification;
import waytrestle.responses.ClassifierCommand;
import waytrestle.responses.ClassifierEvent;
import waytrestle.responses.ExchangeResult;
import waytrestle.responses.ResponseClassifier;
import waytrestle.scheduler.ResponseCode;

/**
 * What each end proves by the platform's protocol, and nothing more: the module hears every end,
 * report and list as it came, just as on the simulator's wire, and decides alone.
 */
public final class PlatformResponseClassifier implements ResponseClassifier {
    @Override
    public void handle(long nowMicros, ClassifierEvent event, ClassifierCommand.Sink out) {
        if (event instanceof ClassifierEvent.RequestStarted e) {
            out.add(
                    new ClassifierCommand.AdmitRequest(
                            e.requestId(), e.concurrencyPerInstance(), e.loadMicros()));
        } else if (event instanceof ClassifierEvent.AttemptRequested e) {
            out.add(new ClassifierCommand.ForwardAttempt(e.requestId(), e.attempt()));
        } else if (event instanceof ClassifierEvent.AttemptCompleted e) {
            ResponseCode code = codeOfPreload(e.result());
            out.add(
                    new ClassifierCommand.CompleteAttempt(
                            e.requestId(),
                            e.attempt(),
                            new Classification(code, code == ResponseCode.OK, false, false),
                            e.loadReport()));
        } else if (event instanceof ClassifierEvent.EndpointListReceived e) {
            out.add(new ClassifierCommand.UpdateEndpoints(e.update()));
        }
    }

    @Override
    public ResponseCode codeOfPreload(ExchangeResult reply) {
        return switch (reply.kind()) {
            case RESPONSE -> ResponseCode.OK;
            case STATUS ->
                    switch (reply.status()) {
                        case 404 -> ResponseCode.NOT_LOADED;
                        case 503 -> ResponseCode.FULL; // marked as not run
                        case 504 -> ResponseCode.NOT_SENT; // marked as not run
                        default -> ResponseCode.ERROR;
                    };
            case MALFORMED -> ResponseCode.ERROR; // something answered; it may have run
            case NOT_CONNECTED -> ResponseCode.CONNECT_FAILED;
            case CONNECTION_LOST -> ResponseCode.RESET;
            case TIMEOUT -> ResponseCode.TIMEOUT;
            case CANCELLED -> ResponseCode.CANCELLED;
            case NO_CAPACITY -> ResponseCode.FULL; // nothing was sent
            case WITHHELD -> ResponseCode.NOT_SENT;
        };
    }

    @Override
    public int retainedEntries() {
        return 0;
    }
}
