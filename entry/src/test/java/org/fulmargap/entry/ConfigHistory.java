package org.fulmargap.entry;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

/**
 * The configurations that an operator has written and when, which tells which answers to
 * a request are allowed. Each version adds routes and drops others; some move a route to
 * another service or change the keys.
 */
final class ConfigHistory {

	/** The answer to a request on a path without a route. */
	static final String NO_ROUTE = "404";

	/** The answer to a request with a key that no client account holds. */
	static final String UNKNOWN_KEY = "401";

	/** A key that every version holds. */
	static final String LASTING_KEY = "good";

	/**
	 * A newer version is in force from its acknowledgement on at the latest, plus this.
	 */
	private static final long NOT_ACKNOWLEDGED = Long.MAX_VALUE;

	private static final List<String> SERVICES = List.of("core", "side", "spare");

	private static final int MAX_ROUTES = 10;

	private static final int MAX_KEYS = 4;

	/** Requests concern what the newest versions have changed, this many of them. */
	private static final int RECENT = 25;

	private final List<Version> versions = new ArrayList<>();

	private final Random random;

	private int names;

	/**
	 * Creates a history with a first version, which is not written yet.
	 * @param random draws the changes
	 * @param lastingRoutes the number of routes that never change
	 */
	ConfigHistory(Random random, int lastingRoutes) {
		this.random = random;
		Map<String, String> services = new LinkedHashMap<>();
		for (int i = 0; i < lastingRoutes; i++) {
			services.put("/lasting" + i + '/', SERVICES.get(i % SERVICES.size()));
		}
		services.put("/moving/", SERVICES.get(0));
		SERVICES.forEach((service) -> services.put('/' + service + '/', service));
		this.versions.add(new Version(1, services, Set.of(LASTING_KEY), 0, NOT_ACKNOWLEDGED));
	}

	static List<String> services() {
		return SERVICES;
	}

	/**
	 * Draws the next version.
	 * @param nowMs the current time in milliseconds, from which on it may be in force
	 * @return the version
	 */
	synchronized Version next(long nowMs) {
		Version last = newest();
		Map<String, String> services = new LinkedHashMap<>(last.services());
		for (int i = this.random.nextInt(3); i > 0; i--) {
			services.put("/r" + this.names++ + '/', service());
		}
		List<String> paths = changing(services);
		if (paths.size() > MAX_ROUTES) {
			services.remove(paths.get(0));
			services.remove(paths.get(this.random.nextInt(paths.size())));
		}
		services.replaceAll((path, service) -> {
			boolean moves = path.equals("/moving/") || (paths.contains(path) && this.random.nextInt(MAX_ROUTES) == 0);
			return (moves) ? service() : service;
		});
		Set<String> keys = new TreeSet<>(last.keys());
		if (this.random.nextInt(3) == 0) {
			keys.add("key" + this.names++);
			if (keys.size() > MAX_KEYS) {
				keys.stream().filter((key) -> !key.equals(LASTING_KEY)).findAny().ifPresent(keys::remove);
			}
		}
		Version next = new Version(last.number() + 1 + this.random.nextInt(5), services, keys, nowMs, NOT_ACKNOWLEDGED);
		this.versions.add(next);
		return next;
	}

	private String service() {
		return SERVICES.get(this.random.nextInt(SERVICES.size()));
	}

	private static List<String> changing(Map<String, String> services) {
		return services.keySet().stream().filter((path) -> path.startsWith("/r")).toList();
	}

	synchronized Version newest() {
		return this.versions.get(this.versions.size() - 1);
	}

	/**
	 * Records that the newest version was acknowledged.
	 * @param nowMs the current time in milliseconds
	 */
	synchronized void acknowledged(long nowMs) {
		Version last = this.versions.remove(this.versions.size() - 1);
		this.versions.add(new Version(last.number(), last.services(), last.keys(), last.sentAtMs(), nowMs));
	}

	/**
	 * Draws a request whose answer differs between the newest versions.
	 * @param draw draws the request
	 * @return a path prefix and a key
	 */
	synchronized Target target(Random draw) {
		List<Version> recent = this.versions.subList(Math.max(0, this.versions.size() - RECENT), this.versions.size());
		Version version = recent.get(draw.nextInt(recent.size()));
		List<String> paths = changing(version.services());
		if (paths.isEmpty() || draw.nextInt(3) == 0) {
			return new Target("/moving/", LASTING_KEY);
		}
		List<String> keys = List.copyOf(version.keys());
		if (draw.nextInt(3) == 0) {
			return new Target("/core/", keys.get(draw.nextInt(keys.size())));
		}
		return new Target(paths.get(draw.nextInt(paths.size())), LASTING_KEY);
	}

	/**
	 * Returns the place of the newest version that was acknowledged early enough that no
	 * older one may be in force.
	 * @param sentAtMs when the request was sent, in milliseconds
	 * @param boundMs the time after its acknowledgement from which on a version is in
	 * force, in milliseconds
	 * @return the place; 0 if there is none
	 */
	synchronized int oldestAllowed(long sentAtMs, long boundMs) {
		for (int i = this.versions.size() - 1; i > 0; i--) {
			long ackedAtMs = this.versions.get(i).ackedAtMs();
			if (ackedAtMs != NOT_ACKNOWLEDGED && sentAtMs > ackedAtMs + boundMs) {
				return i;
			}
		}
		return 0;
	}

	/**
	 * Returns the places of the versions that allow an answer.
	 * @param target the request
	 * @param answer the service that ran it, {@link #NO_ROUTE} or {@link #UNKNOWN_KEY}
	 * @param endedAtMs when the answer arrived, in milliseconds
	 * @return the places in ascending order
	 */
	synchronized List<Integer> allowing(Target target, String answer, long endedAtMs) {
		List<Integer> places = new ArrayList<>();
		for (int i = 0; i < this.versions.size(); i++) {
			Version version = this.versions.get(i);
			if (version.sentAtMs() <= endedAtMs && version.answer(target).equals(answer)) {
				places.add(i);
			}
		}
		return places;
	}

	synchronized Version at(int place) {
		return this.versions.get(place);
	}

	/**
	 * What a request asks for.
	 *
	 * @param path the path prefix
	 * @param key the key of the caller
	 */
	record Target(String path, String key) {
	}

	/**
	 * A configuration.
	 *
	 * @param number its version
	 * @param services the service of each path prefix
	 * @param keys the keys of the only client account
	 * @param sentAtMs when the operator sent it, in milliseconds
	 * @param ackedAtMs when the store acknowledged it, in milliseconds
	 */
	record Version(int number, Map<String, String> services, Set<String> keys, long sentAtMs, long ackedAtMs) {

		private String answer(Target target) {
			String service = this.services.get(target.path());
			if (service == null) {
				return NO_ROUTE;
			}
			return (this.keys.contains(target.key())) ? service : UNKNOWN_KEY;
		}

	}

}
