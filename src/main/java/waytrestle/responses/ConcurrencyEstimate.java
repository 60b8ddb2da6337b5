package waytrestle.responses;

/**
 * How many calls one copy of a function runs at a time, from answers that came too quick or too
 * slow for what was told. A level counts this controller's own calls there: others' make it higher
 * in truth, so that quick answers prove lanes and slow ones prove little; they count only where
 * nobody else was there.
 */
final class ConcurrencyEstimate {
    // ---- Tuned numbers. ----
    private static final int MOST =
            32; // levels told apart; more lanes than this make no queue that matters
    private static final double QUICK = 1.4; // times alone: no waiting for a lane
    private static final double SLOW = 1.7; // times alone: some waited a lane's turn
    private static final int KNOWN = 10; // answers of a level before it speaks
    private static final double NEWS = 0.1; // weight of an answer: about the last ten count

    private final float[] took = new float[MOST + 1];
    private final short[] seen = new short[MOST + 1];
    private final float[] sole = new float[MOST + 1];
    private final short[] soleSeen = new short[MOST + 1];

    /**
     * A warm answer of a call that was the level-th here; alone says that nobody else's calls were
     * there.
     */
    void answered(int level, long micros, boolean alone) {
        if (level < 1 || level > MOST) {
            return;
        }
        mean(took, seen, level, micros);
        if (alone) {
            mean(sole, soleSeen, level, micros);
        }
    }

    private static void mean(float[] mean, short[] n, int level, long micros) {
        double weight = n[level] == 0 ? 1 : Math.max(NEWS, 1.0 / (n[level] + 1));
        mean[level] = (float) (mean[level] + weight * (micros - mean[level]));
        n[level] = (short) Math.min(1_000, n[level] + 1);
    }

    /** What is believed of a copy; 0 where nothing was told and nothing learned. */
    int believed(int told) {
        if (seen[1] < KNOWN) {
            return told;
        }
        int proved = 0;
        for (int k = 1; k <= MOST; k++) {
            if (seen[k] >= KNOWN && took[k] <= QUICK * took[1]) {
                proved = k;
            }
        }
        if (proved > told) {
            return proved;
        }
        for (int k = Math.max(2, proved + 1); k <= Math.min(told, MOST); k++) {
            if (soleSeen[1] >= KNOWN
                    && soleSeen[k] >= KNOWN
                    && sole[k] >= SLOW * sole[1]
                    && k > proved) {
                return Math.max(1, k - 1);
            }
        }
        return told;
    }
}
