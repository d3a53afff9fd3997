package org.fulmargap.standin;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Injected faults of a stand-in, read and changed through {@code /control/faults}. A
 * change names only the faults that change; with {@code "reset":true} all others are
 * switched off.
 *
 * @param <T> the record that holds the faults
 */
final class FaultSettings<T> {

	private final Class<T> type;

	private final T none;

	private final AtomicReference<T> current;

	FaultSettings(Class<T> type, T none) {
		this.type = type;
		this.none = none;
		this.current = new AtomicReference<>(none);
	}

	T current() {
		return this.current.get();
	}

	T getAndUpdate(UnaryOperator<T> change) {
		return this.current.getAndUpdate(change);
	}

	/**
	 * Handles a request to read or change the faults.
	 * @param exchange the request
	 * @param triggers applies the one-shot faults
	 * @param lasting returns the faults that stay active
	 */
	void handle(Exchange exchange, Consumer<T> triggers, UnaryOperator<T> lasting) {
		if ("GET".equals(exchange.method())) {
			exchange.respond(200, current());
			return;
		}
		exchange.body().whenComplete((body, failure) -> {
			if (failure != null) {
				exchange.error(400, "INVALID_FAULT", String.valueOf(failure.getMessage()));
				return;
			}
			try {
				T updated = merge(Json.MAPPER.readTree(body));
				replace(updated, triggers, lasting);
				exchange.respond(200, updated);
			}
			catch (UnrecognizedPropertyException ex) {
				exchange.error(400, "UNKNOWN_FAULT", "unknown fault " + ex.getPropertyName());
			}
			catch (IOException ex) {
				exchange.error(400, "INVALID_FAULT", ex.getMessage());
			}
		});
	}

	/**
	 * Replaces the faults.
	 * @param updated the new faults
	 * @param triggers applies the one-shot faults
	 * @param lasting returns the faults that stay active
	 */
	void replace(T updated, Consumer<T> triggers, UnaryOperator<T> lasting) {
		// A run that a trigger releases looks at the current faults.
		this.current.set(lasting.apply(updated));
		triggers.accept(updated);
	}

	private T merge(JsonNode patch) throws JsonProcessingException, IOException {
		if (!(patch instanceof ObjectNode changes)) {
			throw new IOException("faults must be a JSON object");
		}
		boolean reset = changes.path("reset").asBoolean(false);
		changes.remove("reset");
		ObjectNode merged = Json.MAPPER.valueToTree(reset ? this.none : current());
		for (Map.Entry<String, JsonNode> field : changes.properties()) {
			merged.set(field.getKey(), field.getValue());
		}
		return Json.MAPPER.treeToValue(merged, this.type);
	}

}
