package org.fulmargap.routing;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.fulmargap.config.Configuration;
import org.fulmargap.config.EndpointSpec;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against entry VMs that together exceed the concurrency limit of a cold endpoint.
 */
class SlowStartProperties {

	private static final int MAX = 64;

	@Property(seed = "5101", tries = 300)
	void sharesOfAllRanksAddUpToTheLimit(@ForAll @IntRange(min = 1, max = 320) int members,
			@ForAll @IntRange(max = 1_000) int limit) {
		List<String> names = names(members);
		int sum = 0;
		for (String vm : names) {
			sum += SlowStart.share(limit, SlowStart.rank("model-3", vm, names), members);
		}
		assertThat(sum).isEqualTo(limit);
	}

	@Property(seed = "5102", tries = 150)
	void requestsInFlightNeverExceedTheLimitSinceTheStart(@ForAll long seed,
			@ForAll @IntRange(min = 1, max = 9) int members) {
		Random random = new Random(seed);
		List<String> names = names(members);
		Configuration configuration = new Configuration(Map.of(), Map.of(),
				Map.of("model-0", new EndpointSpec("generate", "a", "http://127.0.0.1:1", MAX, null)));
		List<AdaptiveRouter> routers = new ArrayList<>();
		for (String vm : names) {
			AdaptiveRouter router = new AdaptiveRouter(new RouterSettings(vm, "a", 1, 2_000, seed));
			router.update(configuration, Set.of(), names, 0);
			router.observeLoad("model-0", new LoadReport("i0", 0, 0, MAX, 0, List.of()), 0);
			routers.add(router);
		}
		long nowMs = 0;
		long restartMs = 0;
		int incarnation = 0;
		List<Reservation> held = new ArrayList<>();
		for (int step = 0; step < 400; step++) {
			nowMs += 1 + random.nextInt(60);
			if (random.nextInt(80) == 0) {
				// All connections are lost, and each entry VM observes the new process.
				held.forEach(Reservation::close);
				held.clear();
				incarnation++;
				restartMs = nowMs;
				Collections.shuffle(routers, random);
				for (AdaptiveRouter router : routers) {
					router.observeLoad("model-0", new LoadReport("i" + incarnation, 0, 0, MAX, nowMs, List.of()),
							nowMs);
				}
			}
			if (random.nextInt(8) == 0) {
				Map<String, Long> starts = routers.get(random.nextInt(members)).warmUpStarts();
				routers.get(random.nextInt(members)).mergeWarmUpStarts(starts, nowMs);
			}
			if (random.nextInt(3) == 0 && !held.isEmpty()) {
				try (Reservation ended = held.remove(random.nextInt(held.size()))) {
					ended.succeeded(100, 0, "i" + incarnation, nowMs);
				}
			}
			Optional<Reservation> selected = routers.get(random.nextInt(members))
				.select(RouteRequest.forService("generate"), nowMs);
			selected.ifPresent(held::add);
			if (incarnation > 0) {
				int limit = new SlowStart(1, 2_000).concurrencyLimit(nowMs - restartMs, MAX);
				assertThat(held.size()).as("in flight %d ms after the start", nowMs - restartMs)
					.isLessThanOrEqualTo(limit);
			}
		}
	}

	static List<String> names(int members) {
		List<String> names = new ArrayList<>();
		for (int i = 0; i < members; i++) {
			names.add("vm-" + i);
		}
		return names;
	}

}
