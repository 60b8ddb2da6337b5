package waytrestle.forecast;

import java.util.List;

/**
 * Where a bucket stands in the calendar: its slot in the week, or, on a special day, its slot in
 * the day under that kind of day. Times are Unix seconds of one zone's local time; the calendar
 * comes from the settings.
 */
public final class SeasonalCalendar {
    /** Days that run unlike their weekday: quarter-ends, holidays; days counted from 1970-01-01. */
    public record SpecialDays(String kind, List<Long> days) {}

    public static final long SECONDS_PER_DAY = 86_400;

    private final long bucketSeconds;
    private final List<SpecialDays> specials;

    public SeasonalCalendar(long bucketSeconds, List<SpecialDays> specials) {
        if (bucketSeconds <= 0 || SECONDS_PER_DAY % bucketSeconds != 0) {
            throw new IllegalArgumentException(
                    "a day must hold a whole number of buckets, not of " + bucketSeconds + " s");
        }
        this.bucketSeconds = bucketSeconds;
        this.specials = List.copyOf(specials);
    }

    public long bucketSeconds() {
        return bucketSeconds;
    }

    public int slotsPerDay() {
        return (int) (SECONDS_PER_DAY / bucketSeconds);
    }

    /** Slots in all: those of a week, then those of a day for each kind of special day. */
    public int slotCount() {
        return slotsPerDay() * (7 + specials.size());
    }

    /** The slot of a bucket, by its number since 1970. */
    public int slot(long bucket) {
        long day = Math.floorDiv(bucket * bucketSeconds, SECONDS_PER_DAY);
        int ofDay = (int) Math.floorMod(bucket, (long) slotsPerDay());
        for (int i = 0; i < specials.size(); i++) {
            if (specials.get(i).days().contains(day)) {
                return slotsPerDay() * (7 + i) + ofDay;
            }
        }
        return slotsPerDay() * (int) Math.floorMod(day + 3, 7L)
                + ofDay; // 1970-01-01 was a Thursday; Monday is 0
    }
}
