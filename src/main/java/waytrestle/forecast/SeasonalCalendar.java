package waytrestle.forecast;

import java.util.List;

/**
 * Maps time buckets to slots, so that buckets of equal slots are expected to have similar request
 * counts. On an ordinary day, the slot is the bucket's position in the week; on a special day, its
 * position in the day, separate for each kind of special day.
 *
 * <p>Buckets are numbered from 1970-01-01 in the local time of one time zone.
 */
public final class SeasonalCalendar {
    /**
     * Days whose load differs from that of their weekday, such as quarter ends or holidays.
     *
     * @param kind name of the kind of day
     * @param days the days, counted from 1970-01-01 as day 0
     */
    public record SpecialDays(String kind, List<Long> days) {}

    /** Length of a day in seconds. */
    public static final long SECONDS_PER_DAY = 86_400;

    private final long bucketSeconds;
    private final List<SpecialDays> specialDays;

    /**
     * Creates a calendar.
     *
     * @param bucketSeconds length of a bucket in seconds
     * @param specialDays the kinds of special days; a day of several kinds counts as the first
     * @throws IllegalArgumentException if a day is not a whole number of buckets
     */
    public SeasonalCalendar(long bucketSeconds, List<SpecialDays> specialDays) {
        if (bucketSeconds <= 0 || SECONDS_PER_DAY % bucketSeconds != 0) {
            throw new IllegalArgumentException(
                    "bucket length must divide a day of 86400 s into whole buckets, but is "
                            + bucketSeconds
                            + " s");
        }
        this.bucketSeconds = bucketSeconds;
        this.specialDays = List.copyOf(specialDays);
    }

    /** Returns the length of a bucket in seconds. */
    public long bucketSeconds() {
        return bucketSeconds;
    }

    /** Returns the number of slots of one day, which is its number of buckets. */
    public int slotsPerDay() {
        return (int) (SECONDS_PER_DAY / bucketSeconds);
    }

    /**
     * Returns the number of slots: those of a week, followed by those of one day for each kind of
     * special day.
     */
    public int slotCount() {
        return slotsPerDay() * (7 + specialDays.size());
    }

    /**
     * Returns the slot of a bucket.
     *
     * @param bucket number of the bucket, counted from 1970-01-01
     * @return slot from 0 to less than {@link #slotCount}
     */
    public int slot(long bucket) {
        long day = Math.floorDiv(bucket * bucketSeconds, SECONDS_PER_DAY);
        int slotOfDay = (int) Math.floorMod(bucket, (long) slotsPerDay());
        for (int i = 0; i < specialDays.size(); i++) {
            if (specialDays.get(i).days().contains(day)) {
                return slotsPerDay() * (7 + i) + slotOfDay;
            }
        }
        // 1970-01-01 was a Thursday; the week starts with Monday as day 0.
        return slotsPerDay() * (int) Math.floorMod(day + 3, 7L) + slotOfDay;
    }
}
