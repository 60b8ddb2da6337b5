package waytrestle.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import waytrestle.faults.DescriptorKind;
import waytrestle.faults.Errno;
import waytrestle.faults.FaultRule;
import waytrestle.faults.SystemCall;
import waytrestle.platform.FaultCells.Cell;

/** Draws faults of one controller that overlap: one to three cells of the matrix at a time. */
final class FaultDraw {
    private static final int MAX_OVERLAPPING = 3;
    private static final int MAX_CLOCK_STEP_MILLIS = 3_600_000;
    private static final int DISK_PERMILLE = 400;

    /** Some of them leave connections broken for good: one in so many draws. */
    private static final int DRAWS_PER_LASTING = 4;

    private final Random random;
    private final List<Cell> passing = new ArrayList<>();
    private final List<Cell> lasting = new ArrayList<>();

    /** Faults towards invokers spare the connection to the watch server at this port. */
    FaultDraw(long seed, int watchPort) {
        random = new Random(seed);
        List<Cell> all = new ArrayList<>();
        for (SystemCall call : List.of(SystemCall.READ, SystemCall.WRITE)) {
            all.addAll(FaultCells.transfers(call, DescriptorKind.ACCEPTED, 0));
            all.addAll(FaultCells.transfers(call, DescriptorKind.CONNECTED, -watchPort));
        }
        all.addAll(FaultCells.accepts());
        all.addAll(FaultCells.connects(-watchPort));
        all.addAll(FaultCells.upkeep(DescriptorKind.ACCEPTED, 0));
        all.addAll(FaultCells.upkeep(DescriptorKind.CONNECTED, -watchPort));
        all.addAll(FaultCells.waits());
        for (Errno error : List.of(Errno.ENOSPC, Errno.EIO)) {
            FaultRule disk =
                    FaultRule.random(
                            SystemCall.WRITE, DescriptorKind.REGULAR_FILE, error, DISK_PERMILLE);
            all.add(new Cell(disk, FaultCells.Duration.OFTEN, true));
        }
        for (Cell cell : all) {
            (cell.passes() ? passing : lasting).add(cell);
        }
    }

    /** The faults of the next while. */
    List<Cell> next() {
        List<Cell> drawn = new ArrayList<>();
        int number = 1 + random.nextInt(MAX_OVERLAPPING);
        for (int i = 0; i < number; i++) {
            boolean lasts = random.nextInt(DRAWS_PER_LASTING) == 0;
            List<Cell> from = lasts ? lasting : passing;
            drawn.add(from.get(random.nextInt(from.size())));
        }
        return drawn;
    }

    /** A step of the wall clock, forward or back, by up to an hour; mostly none. */
    int nextClockOffsetMillis() {
        return random.nextInt(DRAWS_PER_LASTING) == 0
                ? random.nextInt(2 * MAX_CLOCK_STEP_MILLIS) - MAX_CLOCK_STEP_MILLIS
                : 0;
    }

    long nextMillis(int least, int most) {
        return least + random.nextInt(most - least + 1);
    }

    boolean nextBoolean() {
        return random.nextBoolean();
    }
}
