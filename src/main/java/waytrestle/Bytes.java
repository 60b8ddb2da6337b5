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
 * An immutable sequence of bytes, stored in segments as they were read from a socket. A large body
 * is stored, sliced and forwarded without being copied into one array; slices share the segments.
 *
 * <p>Thread-safe as long as no caller changes an array that was passed in or returned.
 */
public final class Bytes {
    /** The sequence without bytes. */
    public static final Bytes NONE = new Bytes(List.of(), 0);

    /** The bytes of an array from an index on; the array may be shared with other segments. */
    private record Segment(byte[] array, int from, int length) {}

    private final List<Segment> segments;
    private final long size;

    private Bytes(List<Segment> segments, long size) {
        this.segments = segments;
        this.size = size;
    }

    /** Returns the bytes of an array, which is not copied and must not be changed afterwards. */
    public static Bytes of(byte[] array) {
        return array.length == 0
                ? NONE
                : new Bytes(List.of(new Segment(array, 0, array.length)), array.length);
    }

    /**
     * Returns the bytes of several arrays in order. The arrays are not copied and must not be
     * changed afterwards.
     *
     * @param lastLength number of bytes used of the last array; all others are used whole
     */
    public static Bytes of(List<byte[]> arrays, int lastLength) {
        List<Segment> newSegments = new ArrayList<>(arrays.size());
        long size = 0;
        for (int i = 0; i < arrays.size(); i++) {
            int length = i == arrays.size() - 1 ? lastLength : arrays.get(i).length;
            if (length > 0) {
                newSegments.add(new Segment(arrays.get(i), 0, length));
                size += length;
            }
        }
        return size == 0 ? NONE : new Bytes(newSegments, size);
    }

    /** Returns the number of bytes. */
    public long size() {
        return size;
    }

    /**
     * Returns the number of bytes of the arrays that the sequence keeps in memory, which may be far
     * more than {@link #size}: a segment may use a small part of its array.
     */
    public long retainedBytes() {
        long retained = 0;
        for (Segment segment : segments) {
            retained += segment.array().length;
        }
        return retained;
    }

    /**
     * Returns the same bytes in memory of their size, for bytes that are kept: a copy if the arrays
     * hold more than the bytes.
     *
     * @throws ArithmeticException if there are more bytes than an array can hold
     */
    public Bytes compact() {
        return retainedBytes() == size ? this : of(array());
    }

    /**
     * Returns the bytes from one position to another, sharing the arrays.
     *
     * @param from position of the first byte
     * @param to position after the last byte
     * @throws IndexOutOfBoundsException if the range is not within the bytes
     */
    public Bytes slice(long from, long to) {
        if (from < 0 || to > size || from > to) {
            throw new IndexOutOfBoundsException(
                    "invalid range from " + from + " to " + to + " of " + size + " bytes");
        }
        List<Segment> newSegments = new ArrayList<>();
        long position = 0;
        for (Segment segment : segments) {
            long start = Math.max(from, position);
            long end = Math.min(to, position + segment.length());
            if (start < end) {
                newSegments.add(
                        new Segment(
                                segment.array(),
                                segment.from() + (int) (start - position),
                                (int) (end - start)));
            }
            position += segment.length();
        }
        return from == to ? NONE : new Bytes(newSegments, to - from);
    }

    /**
     * Returns all bytes in one array, which the caller must not change: it is the stored array, not
     * a copy, if a single segment covers its whole array.
     *
     * @throws ArithmeticException if there are more bytes than an array can hold
     */
    public byte[] array() {
        if (segments.size() == 1
                && segments.get(0).from() == 0
                && segments.get(0).length() == segments.get(0).array().length) {
            return segments.get(0).array();
        }
        byte[] all = new byte[Math.toIntExact(size)];
        int position = 0;
        for (Segment segment : segments) {
            System.arraycopy(segment.array(), segment.from(), all, position, segment.length());
            position += segment.length();
        }
        return all;
    }

    /** Returns new buffers that share the segments' arrays, for writing the bytes to a channel. */
    public List<ByteBuffer> buffers() {
        List<ByteBuffer> buffers = new ArrayList<>(segments.size());
        for (Segment segment : segments) {
            buffers.add(ByteBuffer.wrap(segment.array(), segment.from(), segment.length()));
        }
        return buffers;
    }

    /** Returns a new stream of all bytes. */
    public InputStream stream() {
        List<InputStream> streams = new ArrayList<>(segments.size());
        for (Segment segment : segments) {
            streams.add(
                    new ByteArrayInputStream(segment.array(), segment.from(), segment.length()));
        }
        return streams.size() == 1
                ? streams.get(0)
                : new SequenceInputStream(Collections.enumeration(streams));
    }

    /** Returns a cursor at the first byte. */
    public Cursor cursor() {
        return new Cursor();
    }

    /** A reading position that moves forward over the bytes. Not thread-safe. */
    public final class Cursor {
        private int segmentIndex;

        /** Number of bytes of the current segment before the cursor. */
        private int offset;

        /** Number of bytes of the whole sequence before the cursor. */
        private long position;

        /** Returns the number of bytes after the cursor. */
        public long remaining() {
            return size - position;
        }

        /**
         * Moves the cursor forward by a number of bytes.
         *
         * @throws IndexOutOfBoundsException if fewer bytes remain, or the number is negative
         */
        public void skip(long count) {
            if (count < 0 || count > remaining()) {
                throw new IndexOutOfBoundsException(
                        "cannot skip " + count + " bytes: " + remaining() + " remain");
            }
            position += count;
            while (count > 0) {
                int skipped = (int) Math.min(count, segments.get(segmentIndex).length() - offset);
                offset += skipped;
                count -= skipped;
                if (offset == segments.get(segmentIndex).length()) {
                    segmentIndex++;
                    offset = 0;
                }
            }
        }

        /** Reads the next four bytes as a little-endian integer and moves the cursor past them. */
        public int readLittleEndianInt() {
            int value = 0;
            for (int i = 0; i < 4; i++) {
                Segment segment = segments.get(segmentIndex);
                value |= (segment.array()[segment.from() + offset] & 0xFF) << (8 * i);
                skip(1);
            }
            return value;
        }
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof Bytes other
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
