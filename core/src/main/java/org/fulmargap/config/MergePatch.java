package org.fulmargap.config;

import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * JSON Merge Patch (RFC 7396).
 */
public final class MergePatch {

	private MergePatch() {
	}

	/**
	 * Applies a patch. Neither argument is changed.
	 * @param target the document to patch
	 * @param patch the patch
	 * @return the patched document
	 */
	public static JsonNode apply(JsonNode target, JsonNode patch) {
		if (!patch.isObject()) {
			return patch.deepCopy();
		}
		ObjectNode result = target.isObject() ? target.deepCopy() : Json.mapper().createObjectNode();
		for (Map.Entry<String, JsonNode> member : patch.properties()) {
			if (member.getValue().isNull()) {
				result.remove(member.getKey());
			}
			else {
				result.set(member.getKey(), apply(result.path(member.getKey()), member.getValue()));
			}
		}
		return result;
	}

}
