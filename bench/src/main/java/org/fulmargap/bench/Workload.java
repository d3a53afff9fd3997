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
 * The endpoints, pipelines and requests of today's size.
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

	// Requests per second that use 55 percent of the model servers, so that two of three
	// failure domains can do the work: 128 slots and 1,060 ms for each of the 85 percent
	// that generate.
	private static final int STEADY_RATE = 78;

	private static final int GENERATE_SLOTS = 128;

	/** Two large and three small client accounts, by percent of the arrivals. */
	private static final int[] ACCOUNT_PERCENT = { 35, 35, 10, 10, 10 };

	private static final int[] ACCOUNT_WEIGHT = { 4, 4, 1, 1, 1 };

	private Workload() {
	}

	static Configuration configuration() {
		Map<String, EndpointSpec> endpoints = new TreeMap<>();
		add(endpoints, "generate", 8, 16);
		add(endpoints, "encode", 4, 8);
		add(endpoints, "retrieve", 4, 8);
		add(endpoints, "rerank", 4, 8);
		add(endpoints, "action", 2, 8);
		StageSpec encode = new StageSpec("encode", StageKind.ENCODE, "encode", 0);
		PipelineSpec chat = new PipelineSpec(true, DEADLINE_MS,
				List.of(encode, new StageSpec("retrieve", StageKind.RETRIEVE, "retrieve", 0),
						new StageSpec("rerank", StageKind.RERANK, "rerank", 0),
						new StageSpec("generate", StageKind.GENERATE, "generate", 64)));
		PipelineSpec push = new PipelineSpec(false, DEADLINE_MS,
				List.of(encode, new StageSpec("action", StageKind.ACTION, "action", 0)));
		return new Configuration(Map.of("chat", chat, "push", push), Map.of(), endpoints);
	}

	private static void add(Map<String, EndpointSpec> endpoints, String service, int count, int concurrency) {
		for (int i = 0; i < count; i++) {
			endpoints.put(service + "-" + i,
					new EndpointSpec(service, DOMAINS.get(i % DOMAINS.size()), "http://fake", concurrency, null));
		}
	}

	// Tells whether an endpoint reports its load: the model servers and 11 of the 14
	// neighbours do.
	static boolean reportsLoad(String endpoint) {
		return !endpoint.equals("encode-3") && !endpoint.equals("retrieve-3") && !endpoint.equals("action-1");
	}

	/**
	 * Draws the requests of a run.
	 * @param scenario the scenario, which sets the rate
	 * @param seed the seed
	 * @param durationMs the time in which requests arrive
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
			int draw = random.nextInt(100);
			int account = 0;
			while (draw >= ACCOUNT_PERCENT[account]) {
				draw -= ACCOUNT_PERCENT[account++];
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
	 * Computes the part of the requests that the capacity allows to answer. The model
	 * servers count as one pool of slots that loses no time and finds each prefix in its
	 * cache. In the order of arrival, a request counts as answered if the work accepted
	 * so far and its own fit into the slots before its deadline. Requests that do not
	 * generate always count. A policy that prefers short requests could exceed the bound.
	 * @param scenario the scenario
	 * @param requests the requests
	 * @param durationMs the time in which they arrive
	 * @return the bound of the attainment
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
	 * @param id its number
	 * @param atMs when it arrives
	 * @param account the client account
	 * @param weight the weight of the account
	 * @param pipeline the pipeline
	 * @param idempotent whether it may run more than once
	 * @param prefix the prefix of its prompt
	 * @param prefixTokens the length of the prefix
	 * @param promptTokens the length of the prompt
	 * @param outputTokens the length of the answer
	 * @param vm the entry VM that the load balancer selects
	 * @param percent the duration of its plain stages, in percent of the mean
	 * @param losesAnswer whether the answer of its action is lost, in scenarios in which
	 * connections break
	 * @param crashes whether it crashes the model server that runs it
	 */
	record Request(int id, long atMs, String account, int weight, String pipeline, boolean idempotent, String prefix,
			int prefixTokens, int promptTokens, int outputTokens, int vm, int percent, boolean losesAnswer,
			boolean crashes) {

		String fingerprint() {
			return (this.crashes) ? "crashing" : "request-" + this.id;
		}

		long stageMs(String service, int cachedTokens) {
			return switch (service) {
				case "generate" -> (long) ((this.promptTokens - cachedTokens) * MS_PER_PROMPT_TOKEN)
						+ (long) this.outputTokens * MS_PER_OUTPUT_TOKEN;
				case "encode" -> 10L * this.percent / 100;
				case "retrieve" -> 15L * this.percent / 100;
				default -> 30L * this.percent / 100;
			};
		}

	}

}
