package org.tanagermoor.kernel.duty;

import org.jctools.queues.MpscArrayQueue;
import org.jspecify.annotations.Nullable;

/**
 * A bounded, non-blocking queue with many producers and one consumer.
 *
 * @param <T> The type of the elements.
 */
public final class Ring<T> {

    private final MpscArrayQueue<T> queue;

    private Ring(int capacity) {
        queue = new MpscArrayQueue<>(capacity);
    }

    /**
     * Returns an empty ring.
     *
     * @param capacity The capacity in elements, at least 1; it is rounded up to a power of two.
     */
    public static <S> Ring<S> of(int capacity) {
        return new Ring<>(capacity);
    }

    /**
     * Adds an element unless the ring is full.
     *
     * @return {@code false} if the ring is full.
     */
    public boolean offer(T element) {
        return queue.offer(element);
    }

    /**
     * Removes the oldest element. Only the consumer may call this method.
     *
     * @return The oldest element, or {@code null} if the ring is empty.
     */
    @Nullable
    public T poll() {
        return queue.poll();
    }

    /**
     * Returns the number of elements, which may change at any time.
     */
    public int size() {
        return queue.size();
    }
}
