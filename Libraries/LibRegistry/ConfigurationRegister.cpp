#include "LibRegistry/ConfigurationRegister.h"

namespace Registry {

Base::Result<bool> ConfigurationRegister::apply(const Wire::RaftEntry &entry)
{
    if (entry.kind != Wire::RaftEntryKind::Command)
        return false;
    auto command = Wire::decode<StoreConfiguration>(entry.payload);
    if (!command)
        return Base::fail(Base::ErrorKind::CorruptData,
                          "configuration command in the replicated log cannot be decoded");
    if (command->version <= content_.version)
        return false;
    content_ = std::move(*command);
    return true;
}

} // namespace Registry
