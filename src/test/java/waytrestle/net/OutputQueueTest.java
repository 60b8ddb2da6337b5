package waytrestle.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import org.junit.jupiter.api.Test;

class OutputQueueTest {
    private final OutputQueue queue = new OutputQueue();

    @Test
    void partialWriteLeavesTheUnwrittenBytesPending() {
        queue.add(ByteBuffer.allocate(3));
        queue.add(ByteBuffer.allocate(4));
        ByteBuffer[] next = queue.nextBuffers();
        next[0].position(3);
        next[1].position(1);
        queue.recordWritten(4);
        assertEquals(4, queue.writtenBytes());
        assertEquals(3, queue.pendingBytes());
        assertEquals(3, queue.nextBuffers()[0].remaining());
    }

    @Test
    void recordWrittenRejectsANegativeCountAndMoreThanPending() {
        queue.add(ByteBuffer.allocate(3));
        assertThrows(IllegalArgumentException.class, () -> queue.recordWritten(-3));
        assertThrows(IllegalArgumentException.class, () -> queue.recordWritten(4));
        assertEquals(0, queue.writtenBytes());
    }

    @Test
    void bufferAboveTheSliceSizeIsQueuedInSlices() {
        queue.add(ByteBuffer.allocate(200_000));
        assertEquals(64 * 1024, queue.nextBuffers()[0].remaining());
        assertEquals(4, queue.nextBuffers().length);
        queue.clear();
        assertTrue(queue.isEmpty());
        assertEquals(0, queue.pendingBytes());
    }
}
