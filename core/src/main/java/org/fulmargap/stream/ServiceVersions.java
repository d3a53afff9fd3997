package org.fulmargap.stream;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The software versions of which each service had endpoints lately. Confined to one
 * thread.
 */
public final class ServiceVersions {

	/**
	 * How long a version that has left still counts, in milliseconds: streams that it
	 * began may be taken up.
	 */
	public static final long LATELY_MS = 30_000;

	private final Map<String, Map<String, Long>> listedAtMs = new HashMap<>();

	/**
	 * Records that a service has or had endpoints of a version.
	 * @param service the name of the service
	 * @param softwareVersion the version
	 * @param atMs when it had them, in milliseconds
	 */
	public void listed(String service, String softwareVersion, long atMs) {
		this.listedAtMs.computeIfAbsent(service, (name) -> new HashMap<>()).merge(softwareVersion, atMs, Math::max);
	}

	/**
	 * Returns the versions that a service had lately.
	 * @param service the name of the service
	 * @param nowMs the current time in milliseconds
	 * @return the versions in their natural order
	 */
	public Set<String> lately(String service, long nowMs) {
		Map<String, Long> versions = this.listedAtMs.getOrDefault(service, new HashMap<>());
		versions.values().removeIf((atMs) -> nowMs - atMs >= LATELY_MS);
		return new TreeSet<>(versions.keySet());
	}

	/**
	 * Returns whether a service had several versions lately, whose streams don't fit
	 * together.
	 * @param service the name of the service
	 * @param nowMs the current time in milliseconds
	 * @return {@code true} if it had more than one
	 */
	public boolean isMixed(String service, long nowMs) {
		return lately(service, nowMs).size() > 1;
	}

}
