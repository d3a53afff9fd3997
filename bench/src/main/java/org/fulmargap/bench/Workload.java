package org.fulmargap.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

import org.fulmargap.config.Configuration;
import org.fulmargap.config.EndpointSpec;
import org.fulmargap.config.PipelineSpec;
import org.fulmargap.config.StageKind;
import org.fulmargap.config.StageSpec;

/**
 * Endpoints, pipelines and requests of a simulation run, at the current size of the
 * users' deployments.
 */
final class Workload {

	static final int ENTRY_VMS = 7;

	static final List<String> DOMAINS = List.of("a", "b", "c");

	static final long DEADLINE_MS = 3_000;

	static final double MS_PER_PROMPT_TOKEN = 0.15;

	static final int MS_PER_OUTPUT_TOKEN = 25;

	private static final int PREFIXES = 24;

	private static final int PREFIX_TOKENS = 800;

	private static final int NON_IDEMPOTENT_PERCENT = 15;

	// Requests per second that use 55 percent of the slots of the model servers, so that
	// two of three failure domains can serve the load. Each of the 85 percent of requests
	// that generate occupies one of 128 slots for 1,060 ms.
	private static final int STEADY_RATE = 78;

	private static final int GENERATE_SLOTS = 128;

	/** Two large and three small client accounts, in percent of the arrivals. */
	private static final int[] ACCOUNT_PERCENT = { 35, 35, 10, 10, 10 };

	private static final int[] ACCOUNT_WEIGHT = { 4, 4, 1, 1, 1 };

	private Workload() {
	}

	static Configuration configuration() {
		Map<String, EndpointSpec> endpoints = new TreeMap<>();
		addEndpoints(endpoints, "generate", 8, 16);
		addEndpoints(endpoints, "encode", 4, 8);
		addEndpoints(endpoints, "retrieve", 4, 8);
		addEndpoints(endpoints, "rerank", 4, 8);
		addEndpoints(endpoints, "action", 2, 8);
		StageSpec encode = new StageSpec("encode", StageKind.ENCODE, "encode", 0);
		PipelineSpec chat = new PipelineSpec(true, DEADLINE_MS,
				List.of(encode, new StageSpec("retrieve", StageKind.RETRIEVE, "retrieve", 0),
						new StageSpec("rerank", StageKind.RERANK, "rerank", 0),
						new StageSpec("generate", StageKind.GENERATE, "generate", 64)));
		PipelineSpec push = new PipelineSpec(false, DEADLINE_MS,
				List.of(encode, new StageSpec("action", StageKind.ACTION, "action", 0)));
		return new Configuration(Map.of("chat", chat, "push", push), Map.of(), endpoints);
	}

	private static void addEndpoints(Map<String, EndpointSpec> endpoints, String service, int count, int concurrency) {
		for (int i = 0; i < count; i++) {
			endpoints.put(service + "-" + i,
					new EndpointSpec(service, DOMAINS.get(i % DOMAINS.size()), "http://fake", concurrency, null));
		}
	}

	// Returns whether an endpoint reports its load. All model servers and 11 of the 14
	// other endpoints do.
	static boolean reportsLoad(String endpoint) {
		return !endpoint.equals("encode-3") && !endpoint.equals("retrieve-3") && !endpoint.equals("action-1");
	}

	/**
	 * Generates the requests of a run. The times between arrivals are exponentially
	 * distributed.
	 * @param scenario the scenario, which determines the rate
	 * @param seed the seed of the random numbers
	 * @param durationMs the time in which requests arrive, in milliseconds
	 * @return the requests in the order of arrival
	 */
	static List<Request> requests(Scenario scenario, long seed, long durationMs) {
		SplittableRandom random = new SplittableRandom(seed);
		List<Request> requests = new ArrayList<>();
		double atMs = 0;
		while (true) {
			double rate = STEADY_RATE * scenario.rateFactor(atMs / durationMs);
			atMs += -Math.log(1 - random.nextDouble()) * 1_000 / rate;
			if (atMs >= durationMs) {
				return requests;
			}
			int randomPercent = random.nextInt(100);
			int account = 0;
			while (randomPercent >= ACCOUNT_PERCENT[account]) {
				randomPercent -= ACCOUNT_PERCENT[account++];
			}
			boolean idempotent = random.nextInt(100) >= NON_IDEMPOTENT_PERCENT;
			int prefix = (int) (PREFIXES * random.nextDouble() * random.nextDouble());
			requests.add(new Request(requests.size(), (long) atMs, "account-" + account, ACCOUNT_WEIGHT[account],
					(idempotent) ? "chat" : "push", idempotent, "prefix-" + prefix, PREFIX_TOKENS,
					PREFIX_TOKENS + random.nextInt(100, 500), random.nextInt(20, 61), random.nextInt(ENTRY_VMS),
					random.nextInt(70, 131), random.nextInt(200) == 0, false));
		}
	}

	/**
	 * Computes a bound of the attainment: the fraction of the requests that can be
	 * answered in time with the available capacity. The model servers are treated as one
	 * pool of slots that works without overhead and has each prefix in its cache. The
	 * requests are taken in the order of arrival. A request counts as answered if the
	 * slots can complete the accepted work that is left and its own work within the
	 * deadline. Requests without a generate stage always count as answered. A policy that
	 * prefers short requests could exceed the bound.
	 * @param scenario the scenario
	 * @param requests the requests in the order of arrival
	 * @param durationMs the time in which they arrive, in milliseconds
	 * @return the bound, from 0 to 1
	 */
	static double bound(Scenario scenario, List<Request> requests, long durationMs) {
		double backlogMs = 0;
		long atMs = 0;
		int answered = 0;
		for (Request request : requests) {
			double slots = GENERATE_SLOTS * scenario.capacityFactor(request.atMs / (double) durationMs);
			backlogMs = Math.max(0, backlogMs - slots * (request.atMs - atMs));
			atMs = request.atMs;
			double workMs = (request.idempotent) ? request.stageMs("generate", request.prefixTokens) : 0;
			if (workMs == 0 || backlogMs + workMs <= slots * DEADLINE_MS) {
				answered++;
				backlogMs += workMs;
			}
		}
		return (double) answered / requests.size();
	}

	/**
	 * One request.
	 *
	 * @param id the number of the request
	 * @param atMs the time of arrival in milliseconds of virtual time
	 * @param account the client account
	 * @param weight the weight of the account
	 * @param pipeline the pipeline
	 * @param idempotent whether it may run more than once
	 * @param prefix the name of the prefix of its prompt
	 * @param prefixTokens the length of the prefix in tokens
	 * @param promptTokens the length of the prompt in tokens, including the prefix
	 * @param outputTokens the length of the answer in tokens
	 * @param vm the index of the entry VM that receives the request
	 * @param durationPercent the duration of all stages except generate, in percent of
	 * the mean
	 * @param losesAnswer whether the answer of its action is lost in scenarios in which
	 * answers are lost
	 * @param crashes whether it crashes the model server that runs it
	 */
	record Request(int id, long atMs, String account, int weight, String pipeline, boolean idempotent, String prefix,
			int prefixTokens, int promptTokens, int outputTokens, int vm, int durationPercent, boolean losesAnswer,
			boolean crashes) {

		String fingerprint() {
			return (this.crashes) ? "crashing" : "request-" + this.id;
		}

		long stageMs(String service, int cachedTokens) {
			return switch (service) {
				case "generate" -> (long) ((this.promptTokens - cachedTokens) * MS_PER_PROMPT_TOKEN)
						+ (long) this.outputTokens * MS_PER_OUTPUT_TOKEN;
				case "encode" -> 10L * this.durationPercent / 100;
				case "retrieve" -> 15L * this.durationPercent / 100;
				default -> 30L * this.durationPercent / 100;
			};
		}

	}

}
