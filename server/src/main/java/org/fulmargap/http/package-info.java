/**
 * HTTP APIs for callers and operators.
 */
package org.fulmargap.http;
