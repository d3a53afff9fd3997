package org.fulmargap.server;

import dagger.BindsInstance;
import dagger.Component;
import jakarta.inject.Singleton;

/**
 * Makes an entry VM from its settings.
 */
@Singleton
@Component(modules = { CoreModule.class, PlatformModule.class, ServerModule.class })
interface ServerComponent {

	/**
	 * Returns the entry VM.
	 * @return the entry VM, not started yet
	 */
	EntryVm entryVm();

	/**
	 * Makes the component.
	 */
	@Component.Factory
	interface Factory {

		/**
		 * Makes the component.
		 * @param settings the settings of the entry VM
		 * @return the component
		 */
		ServerComponent create(@BindsInstance Settings settings);

	}

}
