package waytrestle.scheduler;

/**
 * Selects a value by its position in descending order, without sorting: quickselect (Hoare, 1961)
 * with the median of three as pivot. Takes linear time on average.
 */
final class OrderStatistic {
    private OrderStatistic() {}

    /**
     * Returns the value at a position in descending order; equal values have adjacent positions.
     *
     * @param values the values, of which the first {@code count} are used and reordered
     * @param position position of the value, from 0 for the highest to {@code count - 1}
     */
    static long nthHighest(long[] values, int count, int position) {
        int first = 0;
        int last = count - 1;
        while (first < last) {
            long pivot = medianOfThree(values[first], values[(first + last) >>> 1], values[last]);
            int left = first;
            int right = last;
            while (left <= right) {
                while (values[left] > pivot) {
                    left++;
                }
                while (values[right] < pivot) {
                    right--;
                }
                if (left <= right) {
                    swap(values, left, right);
                    left++;
                    right--;
                }
            }
            if (position <= right) {
                last = right;
            } else if (position >= left) {
                first = left;
            } else {
                return pivot; // all values between the two parts equal the pivot
            }
        }
        return values[position];
    }

    private static long medianOfThree(long first, long second, long third) {
        long lower = Math.min(first, second);
        long higher = Math.max(first, second);
        return Math.max(lower, Math.min(higher, third));
    }

    private static void swap(long[] values, int left, int right) {
        long value = values[left];
        values[left] = values[right];
        values[right] = value;
    }
}
