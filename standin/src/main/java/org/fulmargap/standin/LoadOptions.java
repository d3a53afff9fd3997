package org.fulmargap.standin;

import java.util.List;

/**
 * Options of a load run.
 *
 * @param entryUrls the base URLs of the entry VMs' caller addresses
 * @param endpointUrls the base URLs of the endpoint stand-ins that count executions
 * @param apiKey the bearer key of the client account
 * @param readPipeline the idempotent pipeline
 * @param actionPipeline the non-idempotent pipeline
 * @param actionShare the share of non-idempotent requests, from 0 to 1
 * @param ratePerSecond the rate at which requests are sent, whether answers arrive or not
 * @param maxCount the number of requests after which the run ends
 * @param maxSeconds the time after which the run ends
 * @param deadlineMs the deadline of each request in milliseconds
 * @param maxInFlight the highest number of requests at the same time; what would exceed
 * it is counted as not sent
 * @param seed the seed that decides arrival times and the mix of requests
 * @param runId a text that makes the idempotency keys of this run unique
 */
public record LoadOptions(List<String> entryUrls, List<String> endpointUrls, String apiKey, String readPipeline,
		String actionPipeline, double actionShare, double ratePerSecond, int maxCount, int maxSeconds, long deadlineMs,
		int maxInFlight, long seed, String runId) {

	/**
	 * Checks the components and refuses targets that are not loopback addresses.
	 */
	public LoadOptions {
		entryUrls = entryUrls.stream().map(LoopbackClient::requireLoopback).toList();
		endpointUrls = endpointUrls.stream().map(LoopbackClient::requireLoopback).toList();
		if (entryUrls.isEmpty()) {
			throw new IllegalArgumentException("at least one entry VM is required");
		}
		if (!(actionShare >= 0 && actionShare <= 1) || !(ratePerSecond > 0) || maxCount < 1 || maxSeconds < 1
				|| deadlineMs < 1 || maxInFlight < 1) {
			throw new IllegalArgumentException("rate, bounds and share must be positive");
		}
	}

}
