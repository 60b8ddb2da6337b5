package waytrestle;

import java.io.ByteArrayInputStream;
import java.io.InputStream;
import java.io.SequenceInputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;

/**
 * Bytes in segments, as they came off a socket, never changed once made. A large body is kept, cut
 * and written on without being joined into one array; the segments are shared, not copied.
 */
public final class Bytes {
    public static final Bytes NONE = new Bytes(List.of(), 0);

    private record Segment(byte[] array, int from, int length) {}

    private final List<Segment> segments;
    private final long size;

    private Bytes(List<Segment> segments, long size) {
        this.segments = segments;
        this.size = size;
    }

    /** The array is handed over. */
    public static Bytes of(byte[] array) {
        return array.length == 0
                ? NONE
                : new Bytes(List.of(new Segment(array, 0, array.length)), array.length);
    }

    /** Arrays in order, of which the last is filled up to a length; they are handed over. */
    public static Bytes of(List<byte[]> arrays, int lastLength) {
        List<Segment> made = new ArrayList<>(arrays.size());
        long size = 0;
        for (int i = 0; i < arrays.size(); i++) {
            int length = i == arrays.size() - 1 ? lastLength : arrays.get(i).length;
            if (length > 0) {
                made.add(new Segment(arrays.get(i), 0, length));
                size += length;
            }
        }
        return size == 0 ? NONE : new Bytes(made, size);
    }

    public long size() {
        return size;
    }

    /** Bytes from one place to before another, sharing the segments. */
    public Bytes slice(long from, long to) {
        if (from < 0 || to > size || from > to) {
            throw new IndexOutOfBoundsException(from + " to " + to + " of " + size);
        }
        List<Segment> made = new ArrayList<>();
        long at = 0;
        for (Segment s : segments) {
            long start = Math.max(from, at);
            long end = Math.min(to, at + s.length());
            if (start < end) {
                made.add(
                        new Segment(s.array(), s.from() + (int) (start - at), (int) (end - start)));
            }
            at += s.length();
        }
        return from == to ? NONE : new Bytes(made, to - from);
    }

    /**
     * All in one array, which is the segment itself where there is just one whole one; not to be
     * changed.
     */
    public byte[] array() {
        if (segments.size() == 1
                && segments.get(0).from() == 0
                && segments.get(0).length() == segments.get(0).array().length) {
            return segments.get(0).array();
        }
        byte[] all = new byte[Math.toIntExact(size)];
        int at = 0;
        for (Segment s : segments) {
            System.arraycopy(s.array(), s.from(), all, at, s.length());
            at += s.length();
        }
        return all;
    }

    /** New buffers over the segments, for writing. */
    public List<ByteBuffer> buffers() {
        List<ByteBuffer> all = new ArrayList<>(segments.size());
        for (Segment s : segments) {
            all.add(ByteBuffer.wrap(s.array(), s.from(), s.length()));
        }
        return all;
    }

    /** The segments as one stream. */
    public InputStream stream() {
        List<InputStream> all = new ArrayList<>(segments.size());
        for (Segment s : segments) {
            all.add(new ByteArrayInputStream(s.array(), s.from(), s.length()));
        }
        return all.size() == 1 ? all.get(0) : new SequenceInputStream(Collections.enumeration(all));
    }

    /** Reads forward from the beginning. */
    public Cursor cursor() {
        return new Cursor();
    }

    /** A place that moves forward over the segments. */
    public final class Cursor {
        private int segment, offset;
        private long at;

        public long remaining() {
            return size - at;
        }

        public void skip(long n) {
            if (n < 0 || n > remaining()) {
                throw new IndexOutOfBoundsException("past the end");
            }
            at += n;
            while (n > 0) {
                int here = (int) Math.min(n, segments.get(segment).length() - offset);
                offset += here;
                n -= here;
                if (offset == segments.get(segment).length()) {
                    segment++;
                    offset = 0;
                }
            }
        }

        /** The next four bytes as a little-endian number. */
        public int readLittleEndianInt() {
            int value = 0;
            for (int i = 0; i < 4; i++) {
                Segment s = segments.get(segment);
                value |= (s.array()[s.from() + offset] & 0xFF) << (8 * i);
                skip(1);
            }
            return value;
        }
    }

    @Override
    public boolean equals(Object o) {
        return o instanceof Bytes other
                && size == other.size
                && Arrays.equals(array(), other.array());
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(array());
    }

    @Override
    public String toString() {
        return size + " bytes";
    }
}
