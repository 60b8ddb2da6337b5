package waytrestle.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import waytrestle.scheduler.SchedulerCommand.ForwardAttempt;
import waytrestle.scheduler.SchedulerEvent.EndpointsUpdated;
import waytrestle.scheduler.SchedulerEvent.RequestReceived;

/** The example in the README of how to embed a scheduler. */
class EmbeddingTest {
    private interface Transport {
        void send(long id, String invoker);
    }

    @Test
    void readmeExampleForwardsOneAttemptForTheRequest() {
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.acceptsPreloads = false;
        SchedulerSettings settings = fixture.settings();
        long seed = 1;
        long nowMicros = 1_000;
        List<InvokerEndpoint> invokers =
                List.of(new InvokerEndpoint("10.0.0.1:80", 0, 0, 0, EndpointState.READY, 1, 0));
        RequestReceived request =
                new RequestReceived(
                        1, 0, -1, "resize", 2_000_000, 0, 256, 4, 500_000, false, false);
        List<SchedulerCommand> commands = new ArrayList<>();
        List<String> sent = new ArrayList<>();
        Transport transport = (id, invoker) -> sent.add(id + " to " + invoker);

        RequestScheduler scheduler = new FinishTimeScheduler(settings, seed);
        scheduler.handle(nowMicros, new EndpointsUpdated(true, false, invokers), commands::add);
        scheduler.handle(nowMicros, request, commands::add);
        for (SchedulerCommand command : commands) {
            if (command instanceof ForwardAttempt attempt) {
                transport.send(attempt.id(), attempt.invoker());
            }
        }

        assertEquals(List.of("1 to 10.0.0.1:80"), sent);
    }
}
