package waytrestle.hunt;

import java.io.PrintWriter;
import java.io.Writer;
import java.lang.reflect.Field;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import waytrestle.audit.Audit;
import waytrestle.controller.Controller;
import waytrestle.emulator.Emulation;
import waytrestle.play.Scenario;
import waytrestle.scheduler.RequestScheduler;

/** Plays a day in simulated time and says everything that is wrong with it. */
public final class DayPlayer {
    private static final long SEEN_LATE =
            5_000; // micros: twice the way between zones there and back
    private static final int TOLD = 5; // faults told of a day
    private static final double BURST =
            200; // attempts over the bound on attempts a call that its budget may hold, by
    // controller

    private final Controller.SchedulerFactory maker;

    public DayPlayer(Controller.SchedulerFactory maker) {
        this.maker = maker;
    }

    public DayResult play(Scenario day) {
        List<String> faults = new ArrayList<>();
        Seen seen = new Seen();
        Emulation emulation;
        Audit.Verdict verdict;
        try {
            emulation = new Emulation(day, null, maker, true, seen);
            seen.audit = new Audit(emulation.settings(), SEEN_LATE);
            emulation.run(new PrintWriter(Writer.nullWriter()));
            verdict = seen.audit.verdict();
        } catch (Exception | StackOverflowError e) {
            return new DayResult(List.of("exception " + e), 0, 0, 0, 0, 0, 0, seen.digest, 0);
        }
        verdict.counts()
                .forEach(
                        (rule, n) -> {
                            if (n > 0) {
                                faults.add(
                                        "rule"
                                                + (rule.ordinal() + 1)
                                                + " broken "
                                                + n
                                                + " times, first: "
                                                + verdict.breaks().stream()
                                                        .filter(b -> b.rule() == rule)
                                                        .findFirst()
                                                        .map(
                                                                b ->
                                                                        String.format(
                                                                                        "%.3f s ",
                                                                                        b.at()
                                                                                                / 1e6)
                                                                                + b.text())
                                                        .orElse(""));
                            }
                        });
        Emulation.Leftovers left = emulation.leftovers();
        if (left.failedDecisions() > 0) {
            faults.add("decision threw " + left.failedDecisions() + " times");
        }
        if (left.held() > 0) {
            faults.add("held " + left.held() + " entries for calls that are over: " + left.text());
        }
        leaks(left.modules(), faults);
        double bound =
                emulation.attemptsPerCall() * verdict.calls() * 2 + BURST * day.controllers();
        if (verdict.attempts() > bound) {
            faults.add(
                    "attempts "
                            + verdict.attempts()
                            + " for "
                            + verdict.calls()
                            + " calls pass their bound");
        }
        return new DayResult(
                faults.subList(0, Math.min(TOLD, faults.size())),
                verdict.service(),
                verdict.calls(),
                verdict.attempts(),
                verdict.orders(),
                verdict.coldUsedPercent() / 100.0,
                verdict.ordersUsedPercent() / 100.0,
                seen.digest,
                emulation.tasks());
    }

    /**
     * Maps by call in a module must be empty once all calls have ended, those of the controllers
     * still up.
     */
    private static void leaks(List<RequestScheduler> modules, List<String> faults) {
        for (RequestScheduler module : modules) {
            for (Field field : module.getClass().getDeclaredFields()) {
                if (!Map.class.isAssignableFrom(field.getType())) {
                    continue;
                }
                try {
                    field.setAccessible(true);
                    Map<?, ?> map = (Map<?, ?>) field.get(module);
                    if (map != null
                            && !map.isEmpty()
                            && map.keySet().iterator().next() instanceof Long) {
                        faults.add("leak of " + map.size() + " entries in " + field.getName());
                        return;
                    }
                } catch (IllegalAccessException e) {
                    throw new IllegalStateException(e);
                }
            }
        }
    }

    /** Hands sightings to the audit and folds all of them into one number. */
    private static final class Seen implements Emulation.Witness {
        Audit audit;
        long digest = 0xCBF29CE484222325L;

        private void fold(String text) {
            for (int i = 0; i < text.length(); i++) {
                digest = (digest ^ text.charAt(i)) * 0x100000001B3L;
            }
        }

        @Override
        public void saw(long at, String who, String what, Object... pairs) {
            digest = (digest ^ at) * 0x100000001B3L;
            fold(who);
            fold(what);
            for (Object each : pairs) {
                fold(String.valueOf(each));
            }
            if (audit != null) {
                audit.see(at, who, what, pairs);
            }
        }
    }
}
