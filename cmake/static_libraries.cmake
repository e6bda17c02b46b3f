# Links the archives of libraries where the system has them. A signal that arrives while the dynamic
# loader still runs cannot be handled, and each shared library lengthens that time.

# Replaces the shared libraries of the imported absl targets by their archives.
function(rhubarbweir_use_absl_archives)
    get_property(targets DIRECTORY PROPERTY IMPORTED_TARGETS)
    foreach(target IN LISTS targets)
        if(NOT target MATCHES "^absl::")
            continue()
        endif()
        get_target_property(configurations ${target} IMPORTED_CONFIGURATIONS)
        foreach(configuration IN LISTS configurations)
            get_target_property(library ${target} IMPORTED_LOCATION_${configuration})
            string(REGEX REPLACE "\\.so[.0-9]*$" ".a" archive "${library}")
            if(EXISTS "${archive}")
                set_target_properties(${target} PROPERTIES IMPORTED_LOCATION_${configuration} "${archive}")
            endif()
        endforeach()
    endforeach()
endfunction()

# Makes `name` the archive lib<name>.a if there is one, and the library of that name otherwise.
function(rhubarbweir_find_archive result name)
    find_library(RHUBARBWEIR_ARCHIVE_${name} NAMES lib${name}.a ${name} REQUIRED)
    set(${result} ${RHUBARBWEIR_ARCHIVE_${name}} PARENT_SCOPE)
endfunction()

# The C library stays shared.
function(rhubarbweir_link_statically program)
    target_link_options(${program} PRIVATE -static-libstdc++ -static-libgcc -Wl,--as-needed)
endfunction()
