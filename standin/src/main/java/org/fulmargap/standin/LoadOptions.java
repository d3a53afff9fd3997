package org.fulmargap.standin;

import java.util.List;

/**
 * Options of a run of the {@link LoadTool}.
 *
 * @param entryUrls the base URLs of the entry VMs' caller addresses
 * @param endpointUrls the base URLs of the endpoint stand-ins whose executions are read;
 * empty to check no executions
 * @param apiKey the API key of the client account, sent as bearer token
 * @param readPipeline the name of the idempotent pipeline
 * @param actionPipeline the name of the non-idempotent pipeline
 * @param actionShare the share of non-idempotent requests, from 0 to 1
 * @param ratePerSecond the mean rate of the Poisson arrivals, in requests per second
 * @param maxCount the number of planned requests after which the run ends
 * @param maxSeconds the time in seconds after which no more requests are sent
 * @param deadlineMs the deadline of each request in milliseconds
 * @param maxInFlight the maximum number of requests in flight; requests that would exceed
 * it are counted as not sent
 * @param seed the seed of the arrival times and of the mix of requests
 * @param runId a text that makes the idempotency keys of this run unique
 */
public record LoadOptions(List<String> entryUrls, List<String> endpointUrls, String apiKey, String readPipeline,
		String actionPipeline, double actionShare, double ratePerSecond, int maxCount, int maxSeconds, long deadlineMs,
		int maxInFlight, long seed, String runId) {

	/**
	 * Checks the options and refuses targets other than loopback addresses.
	 */
	public LoadOptions {
		entryUrls = entryUrls.stream().map(LoopbackClient::requireLoopback).toList();
		endpointUrls = endpointUrls.stream().map(LoopbackClient::requireLoopback).toList();
		if (entryUrls.isEmpty()) {
			throw new IllegalArgumentException("at least one entry VM is required");
		}
		if (!(actionShare >= 0 && actionShare <= 1) || !(ratePerSecond > 0) || maxCount < 1 || maxSeconds < 1
				|| deadlineMs < 1 || maxInFlight < 1) {
			throw new IllegalArgumentException("rate and limits must be positive, and actionShare must be from 0 to 1");
		}
	}

}
