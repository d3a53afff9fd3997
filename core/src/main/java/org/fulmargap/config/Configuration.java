package org.fulmargap.config;

import java.util.Collections;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * One version of the configuration document.
 *
 * @param pipelines the pipelines by name
 * @param accounts the client accounts by name
 * @param endpoints the endpoints by name
 */
public record Configuration(@JsonProperty("pipelines") Map<String, PipelineSpec> pipelines,
		@JsonProperty("accounts") Map<String, AccountSpec> accounts,
		@JsonProperty("endpoints") Map<String, EndpointSpec> endpoints) {

	/** The configuration before the first patch. */
	public static final Configuration EMPTY = new Configuration(Map.of(), Map.of(), Map.of());

	/**
	 * Copies the maps and checks that the service of each stage has an endpoint.
	 */
	public Configuration {
		pipelines = sorted(pipelines);
		accounts = sorted(accounts);
		endpoints = sorted(endpoints);
		for (Map.Entry<String, PipelineSpec> entry : pipelines.entrySet()) {
			for (StageSpec stage : entry.getValue().stages()) {
				if (endpoints.values().stream().noneMatch((endpoint) -> endpoint.service().equals(stage.service()))) {
					throw new IllegalArgumentException("pipeline " + entry.getKey() + " stage " + stage.name()
							+ ": no endpoint belongs to service " + stage.service());
				}
			}
		}
	}

	/**
	 * Finds a pipeline.
	 * @param name the name of the pipeline
	 * @return the pipeline, or empty if there is none of this name
	 */
	public Optional<PipelineSpec> pipeline(String name) {
		return Optional.ofNullable(this.pipelines.get(name));
	}

	private static <V> Map<String, V> sorted(Map<String, V> map) {
		return (map != null) ? Collections.unmodifiableMap(new TreeMap<>(map)) : Map.of();
	}

}
