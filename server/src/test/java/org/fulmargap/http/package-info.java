/**
 * Tests of the HTTP interfaces.
 */
package org.fulmargap.http;
