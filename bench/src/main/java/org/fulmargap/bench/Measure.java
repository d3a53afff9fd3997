package org.fulmargap.bench;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.DoubleSummaryStatistics;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;

import org.fulmargap.bench.Simulation.Policy;
import org.fulmargap.bench.Workload.Request;
import org.fulmargap.bench.capacity.CapacityCommand;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * Compares the policy of fulmargap with a baseline on the same workload, in a
 * discrete-event simulation with virtual time. The policy uses the classes of module
 * core; endpoints and the network between entry VMs are simulated. The same seed gives
 * the same output. See {@link Workload#bound} for the bound of the attainment.
 */
@Command(name = "measure", mixinStandardHelpOptions = true,
		description = "Measures routing and admission policies in virtual time.")
public final class Measure implements Callable<Integer> {

	private static final long FULL_DURATION_MS = 120_000;

	private static final long QUICK_DURATION_MS = 45_000;

	private static final int SEED_COUNT = 3;

	@Spec
	private CommandSpec spec;

	@Option(names = "--quick", description = "Shorter runs; ends within 60 s.")
	private boolean quick;

	@Option(names = "--seed", defaultValue = "1", description = "The first of three seeds (default: ${DEFAULT-VALUE}).")
	private long seed;

	@Option(names = "--scenario", split = ",", description = "Only these scenarios: ${COMPLETION-CANDIDATES}.")
	private List<Scenario> scenarios = List.of(Scenario.values());

	private Measure() {
	}

	/**
	 * Runs the measurements and exits the process.
	 * @param args the command-line arguments
	 */
	public static void main(String[] args) {
		System.exit(commandLine().execute(args));
	}

	/**
	 * Creates the command line with its subcommands.
	 * @return the command line
	 */
	static CommandLine commandLine() {
		return new CommandLine(new Measure()).addSubcommand(new CapacityCommand())
			.setCaseInsensitiveEnumValuesAllowed(true);
	}

	@Override
	public Integer call() {
		PrintWriter out = this.spec.commandLine().getOut();
		for (Scenario scenario : this.scenarios) {
			measure(scenario, out);
		}
		return 0;
	}

	private void measure(Scenario scenario, PrintWriter out) {
		long durationMs = (this.quick) ? QUICK_DURATION_MS : FULL_DURATION_MS;
		List<String> charts = new ArrayList<>();
		for (Policy policy : Policy.values()) {
			DoubleSummaryStatistics attainment = new DoubleSummaryStatistics();
			DoubleSummaryStatistics cost = new DoubleSummaryStatistics();
			DoubleSummaryStatistics fractionOfBound = new DoubleSummaryStatistics();
			int lostRequests = 0;
			long repeatedActions = 0;
			for (long runSeed = this.seed; runSeed < this.seed + SEED_COUNT; runSeed++) {
				List<Request> requests = Workload.requests(scenario, runSeed, durationMs);
				double bound = Workload.bound(scenario, requests, durationMs);
				RunStatistics statistics = new Simulation(policy, runSeed, durationMs).run(scenario, requests);
				attainment.accept(statistics.attainment());
				cost.accept(statistics.cost("generate"));
				fractionOfBound.accept(statistics.attainment() / bound);
				lostRequests += statistics.countLostRequests();
				repeatedActions += statistics.countRepeatedActions();
				out.printf(Locale.ROOT, "scenario=%s policy=%s seed=%d %s bound=%.4f%n", scenario.label(),
						policy.label(), runSeed, statistics.toOutputLine(), bound);
				if (scenario == Scenario.DOMAIN_OUT_AND_BACK && runSeed == this.seed) {
					charts.add(String.format("chart=%s policy=%-9s |%s|", scenario.label(), policy.label(),
							statistics.chart()));
				}
			}
			out.printf(Locale.ROOT,
					"summary=%s policy=%s attainment_mean=%.4f attainment_min=%.4f attainment_max=%.4f "
							+ "of_bound_min=%.4f cost_generate_mean=%.1f cost_generate_min=%.1f "
							+ "cost_generate_max=%.1f lost=%d doubled=%d%n",
					scenario.label(), policy.label(), attainment.getAverage(), attainment.getMin(), attainment.getMax(),
					fractionOfBound.getMin(), cost.getAverage(), cost.getMin(), cost.getMax(), lostRequests,
					repeatedActions);
		}
		charts.forEach(out::println);
		if (!charts.isEmpty()) {
			out.println("chart: attainment by time of arrival; 7 stands for 70 to 79 percent, # for 99 or more");
		}
		out.flush();
	}

}
