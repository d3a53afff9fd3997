package org.fulmargap.bench.capacity;

import java.lang.ref.Reference;
import java.util.Arrays;
import java.util.function.Supplier;

/**
 * Measures retained heap and the duration of operations.
 */
final class Meter {

	private static final int GC_RUNS = 4;

	private static final int ROUNDS = 7;

	private Meter() {
	}

	/**
	 * Creates an object and measures the heap that it retains.
	 * @param <T> the type of the object
	 * @param supplier creates the object
	 * @return the object and the retained heap
	 */
	static <T> Retained<T> measureRetained(Supplier<T> supplier) {
		long usedBefore = usedHeapBytes();
		T object = supplier.get();
		long usedAfter = usedHeapBytes();
		Reference.reachabilityFence(object);
		return new Retained<>(object, Math.max(0, usedAfter - usedBefore));
	}

	/**
	 * Measures the duration of an operation as the median of several rounds, so that a
	 * garbage collection pause in one round has no effect.
	 * @param operation the operation
	 * @param repetitions the number of repetitions per round
	 * @return the duration of one operation in microseconds
	 */
	static double medianMicros(Operation operation, int repetitions) {
		double[] rounds = new double[ROUNDS];
		for (int round = 0; round < ROUNDS; round++) {
			long startNanos = System.nanoTime();
			for (int i = 0; i < repetitions; i++) {
				operation.run(round * repetitions + i);
			}
			rounds[round] = (System.nanoTime() - startNanos) / 1_000.0 / repetitions;
		}
		Arrays.sort(rounds);
		return rounds[ROUNDS / 2];
	}

	private static long usedHeapBytes() {
		for (int i = 0; i < GC_RUNS; i++) {
			System.gc();
		}
		Runtime runtime = Runtime.getRuntime();
		return runtime.totalMemory() - runtime.freeMemory();
	}

	/**
	 * An operation whose duration is measured.
	 */
	interface Operation {

		/**
		 * Runs the operation.
		 * @param index the number of the repetition, counted from zero over all rounds
		 */
		void run(int index);

	}

	/**
	 * An object and the heap that it retains.
	 *
	 * @param <T> the type of the object
	 * @param object the object
	 * @param bytes the retained heap in bytes
	 */
	record Retained<T>(T object, long bytes) {
	}

}
