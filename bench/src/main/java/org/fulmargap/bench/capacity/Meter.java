package org.fulmargap.bench.capacity;

import java.lang.ref.Reference;
import java.util.Arrays;
import java.util.function.Supplier;

/**
 * Measures retained heap and the duration of operations.
 */
final class Meter {

	private static final int COLLECTIONS = 4;

	private static final int ROUNDS = 7;

	private Meter() {
	}

	/**
	 * Builds an object and measures the heap that it retains.
	 * @param <T> the type of the object
	 * @param supplier builds the object
	 * @return the object and its bytes
	 */
	static <T> Retained<T> retained(Supplier<T> supplier) {
		long before = usedBytes();
		T object = supplier.get();
		long after = usedBytes();
		Reference.reachabilityFence(object);
		return new Retained<>(object, Math.max(0, after - before));
	}

	/**
	 * Measures the duration of an operation. The median of several rounds counts, so that
	 * a pause of the collector in one round has no effect.
	 * @param operation the operation
	 * @param repetitions how often each round runs it
	 * @return microseconds per operation
	 */
	static double micros(Operation operation, int repetitions) {
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

	private static long usedBytes() {
		for (int i = 0; i < COLLECTIONS; i++) {
			System.gc();
		}
		Runtime runtime = Runtime.getRuntime();
		return runtime.totalMemory() - runtime.freeMemory();
	}

	/**
	 * An operation that is repeated.
	 */
	interface Operation {

		/**
		 * Runs the operation.
		 * @param index the number of the repetition, from zero
		 */
		void run(int index);

	}

	/**
	 * An object and the heap that it retains.
	 *
	 * @param <T> the type of the object
	 * @param object the object
	 * @param bytes the retained bytes
	 */
	record Retained<T>(T object, long bytes) {
	}

}
