package org.fulmargap.server;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.fulmargap.config.Configuration;
import org.fulmargap.config.Json;
import org.fulmargap.platform.ConfigService;

/**
 * Configuration within one process, without the log.
 */
final class ThinConfig implements ConfigService {

	private volatile View view = new View(0, Configuration.EMPTY, Optional.empty(), true);

	private ObjectNode document = Json.mapper().createObjectNode();

	@Override
	public View current() {
		return this.view;
	}

	@Override
	public synchronized CompletableFuture<Decision> patch(String patchId, long expectedVersion, JsonNode mergePatch) {
		if (expectedVersion != this.view.version()) {
			return refused(PatchRefusal.STALE_VERSION, "version " + this.view.version() + " is in force");
		}
		ObjectNode patched = this.document.deepCopy();
		merge(patched, mergePatch);
		try {
			Configuration configuration = Json.mapper().treeToValue(patched, Configuration.class);
			this.document = patched;
			this.view = new View(expectedVersion + 1, configuration, Optional.empty(), true);
			return CompletableFuture
				.completedFuture(new Decision(true, this.view.version(), Optional.empty(), "in force"));
		}
		catch (JsonProcessingException ex) {
			return refused(PatchRefusal.INVALID, ex.getOriginalMessage());
		}
	}

	private CompletableFuture<Decision> refused(PatchRefusal refusal, String message) {
		return CompletableFuture
			.completedFuture(new Decision(false, this.view.version(), Optional.of(refusal), message));
	}

	private static void merge(ObjectNode target, JsonNode patch) {
		patch.properties().forEach((entry) -> {
			if (entry.getValue().isNull()) {
				target.remove(entry.getKey());
			}
			else if (entry.getValue().isObject()) {
				merge((target.get(entry.getKey()) instanceof ObjectNode child) ? child
						: target.putObject(entry.getKey()), entry.getValue());
			}
			else {
				target.set(entry.getKey(), entry.getValue());
			}
		});
	}

}
