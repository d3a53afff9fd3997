package org.fulmargap.standin;

import java.util.List;
import java.util.concurrent.Callable;

import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Runs the {@link LoadTool} and prints its result as key=value lines.
 */
@Command(name = "load", mixinStandardHelpOptions = true,
		description = "Sends requests to entry VMs on the loopback address; exits with 1 if a guarantee was violated.")
final class LoadCommand implements Callable<Integer> {

	@Option(names = "--entry", required = true, paramLabel = "URL", description = "Entry VM; repeat it for several.")
	private List<String> entryUrls;

	@Option(names = "--endpoint", paramLabel = "URL",
			description = "Endpoint stand-in whose executions are checked; repeat it for several.")
	private List<String> endpointUrls = List.of();

	@Option(names = "--api-key", required = true)
	private String apiKey;

	@Option(names = "--read-pipeline", required = true, description = "Idempotent pipeline.")
	private String readPipeline;

	@Option(names = "--action-pipeline", required = true, description = "Non-idempotent pipeline.")
	private String actionPipeline;

	@Option(names = "--action-share", defaultValue = "0.3")
	private double actionShare;

	@Option(names = "--rate", defaultValue = "50", description = "Requests per second.")
	private double ratePerSecond;

	@Option(names = "--count", defaultValue = "1000", description = "Maximum number of requests.")
	private int maxCount;

	@Option(names = "--seconds", defaultValue = "30", description = "Maximum time of sending, in seconds.")
	private int maxSeconds;

	@Option(names = "--deadline-ms", defaultValue = "5000")
	private long deadlineMs;

	@Option(names = "--max-in-flight", defaultValue = "512")
	private int maxInFlight;

	@Option(names = "--seed", defaultValue = "1")
	private long seed;

	@Option(names = "--run-id",
			description = "Prefix of the idempotency keys; by default derived from the current time.")
	private String runId = "load-" + Long.toString(System.currentTimeMillis(), 36);

	@Override
	public Integer call() throws Exception {
		LoadResult result = new LoadTool(new LoadOptions(this.entryUrls, this.endpointUrls, this.apiKey,
				this.readPipeline, this.actionPipeline, this.actionShare, this.ratePerSecond, this.maxCount,
				this.maxSeconds, this.deadlineMs, this.maxInFlight, this.seed, this.runId))
			.run();
		System.out.println("seed=" + this.seed + "\nrun_id=" + this.runId);
		System.out.println(result);
		return result.isCorrect() ? 0 : 1;
	}

}
