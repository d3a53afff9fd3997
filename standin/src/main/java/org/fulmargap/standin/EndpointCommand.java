package org.fulmargap.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;

import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Runs endpoint stand-ins until the process is terminated.
 */
@Command(name = "endpoint", mixinStandardHelpOptions = true,
		description = "Runs stand-ins of one or more endpoints on the loopback address.")
final class EndpointCommand implements Callable<Integer> {

	@Option(names = "--endpoint", required = true, paramLabel = "NAME=PORT",
			description = "Name and port of an endpoint; repeat it for several.")
	private Map<String, Integer> endpoints;

	@Option(names = "--max-concurrency", defaultValue = "32")
	private int maxConcurrency;

	@Option(names = "--max-queue", defaultValue = "256")
	private int maxQueue;

	@Option(names = "--initial-capacity", defaultValue = "4", description = "Capacity when cold.")
	private int initialCapacity;

	@Option(names = "--doubling-ms", defaultValue = "1000", description = "Busy time after which the capacity doubles.")
	private long doublingMs;

	@Option(names = "--when-cold-overloaded", defaultValue = "FAIL", description = "${COMPLETION-CANDIDATES}")
	private EndpointOptions.ColdOverload whenColdOverloaded;

	@Option(names = "--base-ms", defaultValue = "5")
	private long baseMs;

	@Option(names = "--prompt-us-per-token", defaultValue = "50")
	private long promptUsPerToken;

	@Option(names = "--token-ms", defaultValue = "1")
	private long tokenMs;

	@Option(names = "--cache-blocks", defaultValue = "4096",
			description = "Size of the prefix cache in blocks of 16 tokens.")
	private int cacheBlocks;

	@Option(names = "--load-lag-ms", defaultValue = "50")
	private long loadLagMs;

	@Override
	public Integer call() throws Exception {
		List<EndpointStandIn> started = new ArrayList<>();
		try {
			for (Map.Entry<String, Integer> entry : this.endpoints.entrySet()) {
				EndpointStandIn endpoint = new EndpointStandIn(options(entry.getKey(), entry.getValue()));
				started.add(endpoint);
				endpoint.start();
				System.out.println("event=ready standin=endpoint name=" + entry.getKey() + " port=" + endpoint.port());
			}
			new CountDownLatch(1).await();
		}
		finally {
			started.forEach(EndpointStandIn::close);
		}
		return 0;
	}

	private EndpointOptions options(String name, int port) {
		return new EndpointOptions(name, port, this.maxConcurrency, this.maxQueue, this.initialCapacity,
				this.doublingMs, this.whenColdOverloaded, this.baseMs, this.promptUsPerToken, this.tokenMs,
				this.cacheBlocks, this.loadLagMs);
	}

}
