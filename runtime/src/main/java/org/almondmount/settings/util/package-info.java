/**
 * Parsing of quantities with units in settings, jobs and intents.
 */
package org.almondmount.settings.util;
