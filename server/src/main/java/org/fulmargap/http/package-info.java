/**
 * HTTP interfaces for callers and operators.
 */
package org.fulmargap.http;
