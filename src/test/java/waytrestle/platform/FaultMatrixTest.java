package waytrestle.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.IntFunction;
import org.junit.jupiter.api.Test;
import waytrestle.faults.DescriptorKind;
import waytrestle.faults.SystemCall;
import waytrestle.platform.FaultCells.Cell;
import waytrestle.platform.RepeatingClient.SentRequest;

/**
 * Each system call on sockets fails with each documented error, towards clients and invokers, on
 * new and on kept connections: no unsafe request runs twice, each gets a response, and a connection
 * that is still good is not closed under its request.
 */
class FaultMatrixTest {
    /** Requests of a cell on each of a kept and a new connection. */
    private static final int REQUESTS = 4;

    private static final int INVOKERS = 4;
    private static final int OK = 200;

    /** Controllers that share the cells of a test, since most of a cell is waiting. */
    private static final int CONTROLLERS = 3;

    @Test
    void readsFromClients() throws Exception {
        play(watchPort -> FaultCells.transfers(SystemCall.READ, DescriptorKind.ACCEPTED, 0));
    }

    @Test
    void writesToClients() throws Exception {
        play(watchPort -> FaultCells.transfers(SystemCall.WRITE, DescriptorKind.ACCEPTED, 0));
    }

    @Test
    void acceptingClients() throws Exception {
        play(watchPort -> FaultCells.accepts());
    }

    @Test
    void optionsRegistrationAndEndsOfClientsConnections() throws Exception {
        play(watchPort -> FaultCells.upkeep(DescriptorKind.ACCEPTED, 0));
    }

    @Test
    void readsFromInvokers() throws Exception {
        play(
                watchPort ->
                        FaultCells.transfers(
                                SystemCall.READ, DescriptorKind.CONNECTED, -watchPort));
    }

    @Test
    void writesToInvokers() throws Exception {
        play(
                watchPort ->
                        FaultCells.transfers(
                                SystemCall.WRITE, DescriptorKind.CONNECTED, -watchPort));
    }

    @Test
    void connectingToInvokers() throws Exception {
        play(watchPort -> FaultCells.connects(-watchPort));
    }

    @Test
    void optionsRegistrationAndEndsOfInvokerConnections() throws Exception {
        play(watchPort -> FaultCells.upkeep(DescriptorKind.CONNECTED, -watchPort));
    }

    @Test
    void waits() throws Exception {
        play(watchPort -> FaultCells.waits());
    }

    /**
     * Plays cells, each on one of several controllers.
     *
     * @param cells made for the port of the watch server, to which rules for a negative port do not
     *     hold
     */
    private static void play(IntFunction<List<Cell>> cells) throws Exception {
        ExecutorService threads = Executors.newFixedThreadPool(CONTROLLERS);
        List<Future<?>> runs = new ArrayList<>();
        for (int i = 0; i < CONTROLLERS; i++) {
            int share = i;
            runs.add(threads.submit(() -> playShare(cells, share)));
        }
        threads.shutdown();
        for (Future<?> run : runs) {
            run.get();
        }
    }

    private static Void playShare(IntFunction<List<Cell>> cells, int share) throws Exception {
        try (MatrixRun run = new MatrixRun()) {
            List<Cell> all = cells.apply(run.watchPort());
            List<Cell> own = new ArrayList<>();
            for (int i = share; i < all.size(); i += CONTROLLERS) {
                own.add(all.get(i));
            }
            run.play(own);
        }
        return null;
    }

    /** One controller with its invoker, and the cells played on it one after another. */
    private static final class MatrixRun implements AutoCloseable {
        private final PlatformFixture fixture = new PlatformFixture();
        private final List<ScriptedInvoker> invokers = FaultedFleet.invokers(INVOKERS);
        private final RunRecorder recorder =
                new RunRecorder(invokers.toArray(ScriptedInvoker[]::new));
        private final FaultedController controller = new FaultedController(1);
        private final List<String> violations = new ArrayList<>();
        private int lastId;
        private int cellsHit;
        private int served;
        private int undeliverable;

        MatrixRun() throws Exception {
            String configuration = FaultedFleet.configuration(fixture, invokers);
            controller.start(configuration).awaitReady();
        }

        int watchPort() {
            return fixture.watchServer.port();
        }

        void play(List<Cell> cells) throws Exception {
            for (Cell cell : cells) {
                playCell(cell);
            }
            assertTrue(controller.isAlive(), controller.log());
            assertEquals("", String.join("\n", violations));
            assertTrue(2 * cellsHit > cells.size(), cellsHit + " of " + cells.size() + " hit");
            System.out.println(
                    "fault matrix: "
                            + cells.size()
                            + " cells, "
                            + cellsHit
                            + " hit, "
                            + lastId
                            + " requests, "
                            + served
                            + " served, "
                            + undeliverable
                            + " undeliverable");
        }

        private void playCell(Cell cell) throws Exception {
            try (RepeatingClient keeping = new RepeatingClient(controller.port(), true);
                    RepeatingClient anew = new RepeatingClient(controller.port(), false)) {
                check(cell, keeping.send("read", nextId())); // so that it has a connection to keep
                controller.plan().set(cell.rule());
                for (int i = 0; i < REQUESTS; i++) {
                    String requestClass = i % 4 == 3 ? "read" : "book";
                    check(cell, keeping.send(requestClass, nextId()));
                    check(cell, anew.send(requestClass, nextId()));
                }
            }
            cellsHit += controller.plan().hits() > 0 ? 1 : 0;
            controller.plan().set();
        }

        private void check(Cell cell, SentRequest request) {
            served += request.lastResult() == OK ? 1 : 0;
            List<String> found =
                    new ArrayList<>(
                            RequestInvariants.violations(request, recorder.runs(request.id())));
            if (cell.mayCutEveryTry() && RequestInvariants.wasCutEachTime(request)) {
                undeliverable++;
                found.removeIf(violation -> violation.startsWith(RequestInvariants.LOST));
            }
            if (cell.passes() && RequestInvariants.wasCut(request)) {
                found.add("cut: a good connection was closed under it (" + request + ")");
            }
            for (String violation : found) {
                violations.add(violation + " with " + cell.rule());
            }
        }

        private String nextId() {
            lastId++;
            return PlatformFixture.correlationId(lastId);
        }

        @Override
        public void close() throws Exception {
            controller.close();
            for (ScriptedInvoker invoker : invokers) {
                invoker.close();
            }
            fixture.close();
        }
    }
}
