/**
 * Handles the requests of callers: routing, admission, stages, calls to endpoints,
 * retries and responses.
 */
package org.fulmargap.entry.request;
