/**
 * Clients of the platform's services over HTTP.
 */
package org.wigeontally.platform;
