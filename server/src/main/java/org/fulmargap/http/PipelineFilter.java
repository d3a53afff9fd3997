package org.fulmargap.http;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import org.fulmargap.config.Json;
import org.fulmargap.request.FailureType;
import org.fulmargap.request.FulmargapException;

/**
 * Finds the pipeline, parses the body and computes the digests of the request.
 */
final class PipelineFilter implements RequestFilter {

	@Override
	public CompletableFuture<Reply> apply(Exchange exchange, Next next) throws FulmargapException {
		exchange.pipelineName = exchange.callerRequest.pipeline();
		exchange.pipeline = exchange.configView.configuration()
			.pipeline(exchange.pipelineName)
			.orElseThrow(() -> new FulmargapException(FailureType.UNKNOWN_PIPELINE, "UNKNOWN_PIPELINE",
					"the configuration has no pipeline " + exchange.pipelineName));
		Body body = parse(exchange.body);
		exchange.input = body.input();
		exchange.streamed = Boolean.TRUE.equals(body.stream());
		byte[] pipeline = Digests.utf8(exchange.pipelineName);
		exchange.digest = Digests.sha256OfParts(pipeline, exchange.body);
		exchange.fingerprint = Digests.sha256OfParts(Digests.utf8(exchange.accountName), pipeline, exchange.body);
		return next.proceed();
	}

	private static Body parse(byte[] bytes) throws FulmargapException {
		try {
			Body body = Json.mapper().readValue(bytes, Body.class);
			if (body == null || body.input() == null) {
				throw malformed("BODY_INVALID", "field 'input' must be a string", null);
			}
			return body;
		}
		catch (UnrecognizedPropertyException ex) {
			throw malformed("BODY_INVALID", "field '" + ex.getPropertyName() + "' is unknown", ex);
		}
		catch (JsonProcessingException ex) {
			throw malformed("BODY_NOT_JSON", "the body is not a valid JSON object: " + ex.getOriginalMessage(), ex);
		}
		catch (IOException ex) {
			throw malformed("BODY_NOT_JSON", "the body is not a valid JSON object", ex);
		}
	}

	private static FulmargapException malformed(String reason, String message, Exception cause) {
		return new FulmargapException(FailureType.MALFORMED_REQUEST, reason, message, cause);
	}

	/**
	 * The body of a request.
	 *
	 * @param input the input of the first stage
	 * @param stream whether the answer is streamed; {@code null} means no
	 */
	private record Body(@JsonProperty(value = "input", required = true) String input,
			@JsonProperty("stream") Boolean stream) {
	}

}
