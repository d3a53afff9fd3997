/**
 * Tests of the HTTP APIs.
 */
package org.fulmargap.http;
