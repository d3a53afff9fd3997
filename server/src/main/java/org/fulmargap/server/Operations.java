package org.fulmargap.server;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.fulmargap.config.Configuration;
import org.fulmargap.config.Json;
import org.fulmargap.http.OperatorActions;
import org.fulmargap.pipeline.EndpointWatch;
import org.fulmargap.platform.ConfigService;

/**
 * Carries out what operators order.
 */
final class Operations implements OperatorActions {

	private final Settings settings;

	private final ConfigService config;

	private final Lifecycle lifecycle;

	private final EndpointWatch watch;

	private final Set<String> out = ConcurrentHashMap.newKeySet();

	Operations(Settings settings, ConfigService config, Lifecycle lifecycle, EndpointWatch watch) {
		this.settings = settings;
		this.config = config;
		this.lifecycle = lifecycle;
		this.watch = watch;
	}

	@Override
	public CompletableFuture<JsonNode> order(Target target, String name, boolean out) {
		String entry = target + "/" + name;
		if (out) {
			this.out.add(entry);
		}
		else {
			this.out.remove(entry);
		}
		ObjectNode result = Json.mapper().createObjectNode();
		result.put("in_force", true);
		result.putArray("confirmed").add(this.settings.vm());
		result.putArray("not_confirmed");
		return CompletableFuture.completedFuture(result);
	}

	/**
	 * Returns the endpoints that get no new work.
	 * @param configuration the configuration in force
	 * @return the names of the endpoints that are taken out or lie in a failure domain
	 * that is taken out
	 */
	Set<String> unavailable(Configuration configuration) {
		Set<String> names = ConcurrentHashMap.newKeySet();
		configuration.endpoints().forEach((name, spec) -> {
			if (this.out.contains(Target.ENDPOINT + "/" + name)
					|| this.out.contains(Target.FAILURE_DOMAIN + "/" + spec.failureDomain())) {
				names.add(name);
			}
		});
		names.addAll(this.watch.leaving());
		return names;
	}

	@Override
	public JsonNode members() {
		ObjectNode node = Json.mapper().createObjectNode();
		node.putArray("members").addObject().put("vm", this.settings.vm());
		return node;
	}

	@Override
	public CompletableFuture<Boolean> evict(String vm) {
		return CompletableFuture.completedFuture(false);
	}

	@Override
	public Readiness readiness() {
		if (this.lifecycle.isDraining()) {
			return new Readiness(Optional.of("DRAINING"), false);
		}
		if (!this.config.current().known()) {
			return new Readiness(Optional.of("CONFIG_UNKNOWN"), false);
		}
		return new Readiness(Optional.empty(), true);
	}

}
