/**
 * The stand-in for a plain service, which runs no model.
 */
package org.burdocktray.standins.service;
