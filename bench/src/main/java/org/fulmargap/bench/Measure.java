package org.fulmargap.bench;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.DoubleSummaryStatistics;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;

import org.fulmargap.bench.Workload.Request;
import org.fulmargap.bench.World.Policy;
import org.fulmargap.bench.capacity.CapacityCommand;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * Measures the policy and a baseline on the same arrivals in virtual time. The decisions
 * are made by the classes of module core; endpoints and the network between entry VMs are
 * fakes. The same seed gives the same output. See {@link Workload#bound} for how the
 * bound of the attainment is computed.
 */
@Command(name = "measure", mixinStandardHelpOptions = true,
		description = "Measures routing and admission policies in virtual time.")
public final class Measure implements Callable<Integer> {

	private static final long FULL_MS = 120_000;

	private static final long QUICK_MS = 45_000;

	private static final int SEEDS = 3;

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
	 * Runs the measurements and ends the process.
	 * @param args the command line
	 */
	public static void main(String[] args) {
		System.exit(commandLine().execute(args));
	}

	/**
	 * Creates the command line, to which subcommands are added here.
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
		long durationMs = (this.quick) ? QUICK_MS : FULL_MS;
		List<String> charts = new ArrayList<>();
		for (Policy policy : Policy.values()) {
			DoubleSummaryStatistics attainment = new DoubleSummaryStatistics();
			DoubleSummaryStatistics cost = new DoubleSummaryStatistics();
			DoubleSummaryStatistics ofBound = new DoubleSummaryStatistics();
			int lost = 0;
			long doubled = 0;
			for (long s = this.seed; s < this.seed + SEEDS; s++) {
				List<Request> requests = Workload.requests(scenario, s, durationMs);
				double bound = Workload.bound(scenario, requests, durationMs);
				Tally tally = new World(policy, s, durationMs).run(scenario, requests);
				attainment.accept(tally.attainment());
				cost.accept(tally.cost("generate"));
				ofBound.accept(tally.attainment() / bound);
				lost += tally.lost();
				doubled += tally.doubled();
				out.printf(Locale.ROOT, "scenario=%s policy=%s seed=%d %s bound=%.4f%n", scenario.label(),
						policy.label(), s, tally.line(), bound);
				if (scenario == Scenario.DOMAIN_OUT_AND_BACK && s == this.seed) {
					charts.add(String.format("chart=%s policy=%-9s |%s|", scenario.label(), policy.label(),
							tally.chart()));
				}
			}
			out.printf(Locale.ROOT,
					"summary=%s policy=%s attainment_mean=%.4f attainment_min=%.4f attainment_max=%.4f "
							+ "of_bound_min=%.4f cost_generate_mean=%.1f cost_generate_min=%.1f "
							+ "cost_generate_max=%.1f lost=%d doubled=%d%n",
					scenario.label(), policy.label(), attainment.getAverage(), attainment.getMin(), attainment.getMax(),
					ofBound.getMin(), cost.getAverage(), cost.getMin(), cost.getMax(), lost, doubled);
		}
		charts.forEach(out::println);
		if (!charts.isEmpty()) {
			out.println("chart: attainment by time of arrival; 7 stands for 70 to 79 percent, # for 99 or more");
		}
		out.flush();
	}

}
