package org.fulmargap.bench.capacity;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.function.ToDoubleFunction;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * Prints the measured cost of each kind of control state at several sizes, and a
 * least-squares fit of the cost over the size.
 */
@Command(name = "capacity", mixinStandardHelpOptions = true,
		description = "Measures heap, time and bytes of control state at several sizes.")
public final class CapacityCommand implements Callable<Integer> {

	@Spec
	private CommandSpec spec;

	@Option(names = "--state", split = ",", description = "Only these kinds: ${COMPLETION-CANDIDATES}.")
	private List<StateKind> kinds = List.of(StateKind.values());

	@Override
	public Integer call() {
		PrintWriter out = this.spec.commandLine().getOut();
		for (StateKind kind : this.kinds) {
			printCosts(kind, out);
			out.flush();
		}
		return 0;
	}

	private void printCosts(StateKind kind, PrintWriter out) {
		int[] sizes = kind.sizes();
		// Warm-up run, which lets the JIT compile the measured code. Without it, the
		// figures of the first size would be too high.
		kind.measure(sizes[sizes.length - 1]);
		List<Cost> costs = new ArrayList<>();
		for (int size : sizes) {
			Cost cost = kind.measure(size);
			costs.add(cost);
			out.printf(Locale.ROOT, "state=%s size=%d heap_bytes=%.0f operation_us=%.2f wire_bytes=%.0f%n", name(kind),
					size, cost.heapBytes(), cost.operationMicros(), cost.wireBytes());
		}
		printFit(kind, "heap_bytes", sizes, costs, Cost::heapBytes, out);
		printFit(kind, "operation_us", sizes, costs, Cost::operationMicros, out);
		printFit(kind, "wire_bytes", sizes, costs, Cost::wireBytes, out);
	}

	private void printFit(StateKind kind, String quantity, int[] sizes, List<Cost> costs, ToDoubleFunction<Cost> value,
			PrintWriter out) {
		List<LinearFit.Point> points = new ArrayList<>();
		for (int i = 0; i < sizes.length; i++) {
			points.add(new LinearFit.Point(sizes[i], value.applyAsDouble(costs.get(i))));
		}
		LinearFit fit = LinearFit.fit(points);
		out.printf(Locale.ROOT, "fit=%s quantity=%s unit=\"%s\" intercept=%.2f per_unit=%.4f r2=%.4f%n", name(kind),
				quantity, kind.unit(), fit.intercept(), fit.slope(), fit.rSquared());
	}

	private static String name(StateKind kind) {
		return kind.name().toLowerCase(Locale.ROOT);
	}

}
