package org.fulmargap.server;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.exc.InvalidFormatException;
import com.fasterxml.jackson.databind.exc.MismatchedInputException;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * Reads settings from a JSON file.
 */
final class SettingsFile {

	/**
	 * Strings and fractions are not converted to integers, so that a value in another
	 * unit, such as 0.5 for half a second, is rejected.
	 */
	private static final ObjectReader READER = JsonMapper.builder()
		.disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
		.disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
		.enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
		.build()
		.readerFor(Settings.class);

	private SettingsFile() {
	}

	/**
	 * Reads settings from a file.
	 * @param file the file
	 * @return the settings
	 * @throws SettingsException if the file cannot be read or a field is invalid
	 */
	static Settings read(Path file) throws SettingsException {
		String json;
		try {
			json = Files.readString(file);
		}
		catch (IOException ex) {
			throw new SettingsException("settings: file " + file + " cannot be read", ex);
		}
		return parse(json);
	}

	/**
	 * Parses settings.
	 * @param json the JSON text
	 * @return the settings
	 * @throws SettingsException if the text is not valid JSON or a field is invalid
	 */
	static Settings parse(String json) throws SettingsException {
		try {
			Settings settings = READER.readValue(json);
			if (settings == null) {
				throw new SettingsException("settings: the file must contain a JSON object", null);
			}
			return settings;
		}
		catch (JsonParseException ex) {
			throw new SettingsException("settings: not valid JSON at line " + ex.getLocation().getLineNr() + ", column "
					+ ex.getLocation().getColumnNr(), ex);
		}
		catch (UnrecognizedPropertyException ex) {
			throw new SettingsException("settings: field '" + path(ex) + "' is unknown", ex);
		}
		catch (JsonMappingException ex) {
			throw new SettingsException(describe(ex), ex);
		}
		catch (IOException ex) {
			throw new SettingsException("settings: not valid JSON", ex);
		}
	}

	private static String describe(JsonMappingException ex) {
		for (Throwable cause = ex; cause != null; cause = cause.getCause()) {
			if (cause instanceof Settings.InvalidFieldException invalid) {
				return "settings: field '" + invalid.field() + "' " + invalid.getMessage();
			}
		}
		String field = path(ex);
		if (field.isEmpty()) {
			return "settings: the file must contain a JSON object";
		}
		if (ex instanceof InvalidFormatException format && format.getTargetType().isEnum()) {
			return "settings: field '" + field + "' must be one of "
					+ List.of(format.getTargetType().getEnumConstants()) + ", but is '" + format.getValue() + "'";
		}
		if (ex instanceof MismatchedInputException mismatch && mismatch.getTargetType() != null) {
			return "settings: field '" + field + "' must be " + expectedType(field, mismatch.getTargetType());
		}
		Throwable cause = (ex.getCause() != null) ? ex.getCause() : ex;
		return "settings: field '" + field + "' " + cause.getMessage().lines().findFirst().orElse("is not valid");
	}

	private static String expectedType(String field, Class<?> type) {
		if (type == Long.class || type == Integer.class) {
			return field.endsWith("_ms") ? "a whole number of milliseconds" : "a whole number";
		}
		if (type == Address.class) {
			return "a text of the form IP:port";
		}
		return List.class.isAssignableFrom(type) ? "a list" : "a text";
	}

	private static String path(JsonMappingException ex) {
		StringBuilder path = new StringBuilder();
		for (JsonMappingException.Reference reference : ex.getPath()) {
			if (reference.getFieldName() != null) {
				path.append(path.isEmpty() ? "" : ".").append(reference.getFieldName());
			}
			else {
				path.append('[').append(reference.getIndex()).append(']');
			}
		}
		return path.toString();
	}

}
